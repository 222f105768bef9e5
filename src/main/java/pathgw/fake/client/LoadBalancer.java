package pathgw.fake.client;

import java.time.Duration;
import java.util.Arrays;
import java.util.Random;
import pathgw.fake.Clock;

/**
 * Distributes client requests over the proxies. It detects late that a proxy is down: it continues
 * to choose the proxy for a random delay of a few seconds after the first refused connection.
 */
final class LoadBalancer {
  private static final int MIN_REMOVAL_DELAY_MS = 1500;
  private static final int REMOVAL_DELAY_RANGE_MS = 2000;
  private static final int MIN_DRAIN_DELAY_MS = 200;
  private static final int DRAIN_DELAY_RANGE_MS = 200;

  private final Clock clock;
  private final Random random;

  /** Draws the proxy of a request; null for round robin. */
  private final ZipfDistribution skewedProxies;

  private final boolean[] inRotation;

  /** By proxy: when it leaves the rotation after a refused connection; null if not planned. */
  private final Duration[] removalAt;

  private int lastChosen;

  /**
   * Creates a load balancer with no proxy in rotation.
   *
   * @param proxies the number of proxies
   * @param proxySkew exponent of Zipf's law for the proxies' shares of the traffic; 0 for round
   *     robin
   */
  LoadBalancer(Clock clock, Random random, int proxies, double proxySkew) {
    this.clock = clock;
    this.random = random;
    skewedProxies = proxySkew == 0 ? null : new ZipfDistribution(proxies, proxySkew);
    inRotation = new boolean[proxies];
    removalAt = new Duration[proxies];
  }

  /** Adds all proxies to the rotation. */
  void addAll() {
    Arrays.fill(inRotation, true);
  }

  /** Adds a proxy to the rotation immediately and cancels its planned removal. */
  void add(int proxy) {
    inRotation[proxy] = true;
    removalAt[proxy] = null;
  }

  /** Removes a proxy that shuts down from the rotation, after a random delay. */
  void drain(int proxy) {
    Duration delay = Duration.ofMillis(MIN_DRAIN_DELAY_MS + random.nextInt(DRAIN_DELAY_RANGE_MS));
    clock.schedule(delay, () -> inRotation[proxy] = false);
  }

  /** Plans the removal of a proxy that refused a connection, unless it starts again before. */
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

  /**
   * Chooses the proxy of the next request. Chooses a proxy that isn't in rotation only if none is.
   */
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
