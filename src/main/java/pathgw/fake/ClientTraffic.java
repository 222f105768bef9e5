package pathgw.fake;

import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Generates the clients' requests: arrivals of a Poisson process that wait for no answer, with
 * random request class, tenant and key.
 */
final class ClientTraffic {
  private static final double MIN_REQUESTS_PER_SECOND = 0.1;
  private static final String HOT_KEY = "khot";

  private final Clock clock;
  private final Random random;
  private final FakeClients.Habits behavior;
  private final List<FakeClients.RequestClass> requestClasses;
  private final int tenants;
  private final ZipfDistribution keys;
  private final Consumer<ClientRequest> requestSink;
  private boolean stopped;

  /**
   * Creates a generator that has not started.
   *
   * @param keys popularity of the keys
   * @param requestSink receives each request at the time of its arrival
   */
  ClientTraffic(
      Clock clock,
      Random random,
      FakeClients.Habits behavior,
      List<FakeClients.RequestClass> requestClasses,
      int tenants,
      ZipfDistribution keys,
      Consumer<ClientRequest> requestSink) {
    this.clock = clock;
    this.random = random;
    this.behavior = behavior;
    this.requestClasses = requestClasses;
    this.tenants = tenants;
    this.keys = keys;
    this.requestSink = requestSink;
  }

  void start() {
    scheduleNext();
  }

  void stop() {
    stopped = true;
  }

  private void scheduleNext() {
    double perSecond = Math.max(MIN_REQUESTS_PER_SECOND, behavior.rate);
    clock.in(
        RandomValues.exponentialPause(random, perSecond),
        () -> {
          if (!stopped) {
            requestSink.accept(nextRequest());
            scheduleNext();
          }
        });
  }

  /** The order of the draws is part of what a seed stands for. */
  private ClientRequest nextRequest() {
    FakeClients.RequestClass requestClass = drawRequestClass();
    int tenant = drawTenant();
    boolean keyed = requestClass.effect() == FakeClients.Effect.IDEMPOTENCY_KEYED;
    String idempotencyKey = keyed ? RandomValues.hexId(random) : "";
    return new ClientRequest(requestClass, tenant, drawKey(), idempotencyKey, clock.now());
  }

  private FakeClients.RequestClass drawRequestClass() {
    double point = random.nextDouble();
    int index = 0;
    while (index < requestClasses.size() - 1 && point >= requestClasses.get(index).part()) {
      point -= requestClasses.get(index).part();
      index++;
    }
    return requestClasses.get(index);
  }

  /** Every tenant has the weight 1, but the first the weight {@code greed}. */
  private int drawTenant() {
    double weights = tenants - 1 + behavior.greed;
    double point = random.nextDouble() * weights - behavior.greed;
    return point < 0 ? 0 : Math.min(tenants - 1, 1 + (int) point);
  }

  private String drawKey() {
    if (random.nextDouble() < behavior.hot) {
      return HOT_KEY;
    }
    return "k" + keys.next(random);
  }
}
