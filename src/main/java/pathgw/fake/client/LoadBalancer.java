package pathgw.fake.client;

import java.time.Duration;
import java.util.Arrays;
import java.util.Random;
import pathgw.fake.Clock;

/**
 * Distributes client connections over the proxies. It learns late that a proxy has gone: it goes on
 * choosing a dead proxy for some seconds after the first refused connection.
 */
final class LoadBalancer {
  private static final int MIN_REMOVAL_DELAY_MS = 1500;
  private static final int REMOVAL_DELAY_RANGE_MS = 2000;
  private static final int MIN_DRAIN_DELAY_MS = 200;
  private static final int DRAIN_DELAY_RANGE_MS = 200;

  private final Clock clock;
  private final Random random;

  /** How unequal the proxies' traffic is; null for round robin. */
  private final ZipfDistribution skewedProxies;

  private final boolean[] inRotation;

  /** When a proxy that refused a connection is taken out of rotation; null where none has. */
  private final Duration[] removalAt;

  private int lastChosen;

  /**
   * Creates a load balancer with no proxy in rotation.
   *
   * @param proxySkew exponent of Zipf's law for the proxies' shares; 0 for round robin
   */
  LoadBalancer(Clock clock, Random random, int proxies, double proxySkew) {
    this.clock = clock;
    this.random = random;
    skewedProxies = proxySkew == 0 ? null : new ZipfDistribution(proxies, proxySkew);
    inRotation = new boolean[proxies];
    removalAt = new Duration[proxies];
  }

  /** Puts all proxies into rotation. */
  void addAll() {
    Arrays.fill(inRotation, true);
  }

  /** Puts a proxy into rotation at once. */
  void add(int proxy) {
    inRotation[proxy] = true;
    removalAt[proxy] = null;
  }

  /** Takes a proxy that shuts down out of rotation, after a moment. */
  void drain(int proxy) {
    Duration delay = Duration.ofMillis(MIN_DRAIN_DELAY_MS + random.nextInt(DRAIN_DELAY_RANGE_MS));
    clock.schedule(delay, () -> inRotation[proxy] = false);
  }

  /** Notes a refused connection; without a new start the proxy leaves the rotation later. */
  void connectionRefused(int proxy) {
    if (removalAt[proxy] != null || !inRotation[proxy]) {
      return;
    }
    Duration delay =
        Duration.ofMillis(MIN_REMOVAL_DELAY_MS + random.nextInt(REMOVAL_DELAY_RANGE_MS));
    Duration plannedRemoval = clock.now().plus(delay);
    removalAt[proxy] = plannedRemoval;
    clock.schedule(
        delay,
        () -> {
          if (plannedRemoval.equals(removalAt[proxy])) {
            inRotation[proxy] = false;
          }
        });
  }

  /** Chooses the proxy of the next request; one out of rotation only where all are. */
  int next() {
    if (skewedProxies != null) {
      lastChosen = skewedProxies.next(random);
      if (inRotation[lastChosen]) {
        return lastChosen;
      }
    }
    for (int i = 0; i < inRotation.length; i++) {
      lastChosen = (lastChosen + 1) % inRotation.length;
      if (inRotation[lastChosen]) {
        return lastChosen;
      }
    }
    lastChosen = (lastChosen + 1) % inRotation.length;
    return lastChosen;
  }
}
