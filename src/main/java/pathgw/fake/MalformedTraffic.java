package pathgw.fake;

import java.util.Random;

/** Opens connections at random times on which a malformed command is sent. */
final class MalformedTraffic {
  private static final double MIN_CLIENTS_PER_SECOND = 0.2;

  private final Clock clock;
  private final Random random;
  private final FakeClients.Habits behavior;
  private final ClientConnector connector;
  private final ClientObserver observer;
  private final int proxies;
  private final String requestClass;
  private boolean stopped;

  /**
   * Creates a generator that has not started.
   *
   * @param requestClass a request class that the proxies know
   */
  MalformedTraffic(
      Clock clock,
      Random random,
      FakeClients.Habits behavior,
      ClientConnector connector,
      ClientObserver observer,
      int proxies,
      String requestClass) {
    this.clock = clock;
    this.random = random;
    this.behavior = behavior;
    this.connector = connector;
    this.observer = observer;
    this.proxies = proxies;
    this.requestClass = requestClass;
  }

  void start() {
    scheduleNext();
  }

  void stop() {
    stopped = true;
  }

  private void scheduleNext() {
    double perSecond = Math.max(MIN_CLIENTS_PER_SECOND, behavior.rude);
    clock.in(
        RandomValues.exponentialPause(random, perSecond),
        () -> {
          if (stopped) {
            return;
          }
          if (behavior.rude > 0) {
            connect();
          }
          scheduleNext();
        });
  }

  private void connect() {
    int proxy = random.nextInt(proxies);
    connector.open(
        proxy,
        side -> new MalformedClient(clock, random, observer, requestClass, side, proxy),
        () -> {});
  }
}
