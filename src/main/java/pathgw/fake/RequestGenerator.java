package pathgw.fake;

import java.util.List;
import java.util.Random;

/** Draws the clients' requests: request class, tenant and key. */
final class RequestGenerator {
  private static final String HOT_KEY = "khot";

  private final Clock clock;
  private final Random random;
  private final FakeClients.Habits behavior;
  private final List<FakeClients.RequestClass> requestClasses;
  private final int tenants;
  private final ZipfDistribution keys;

  /**
   * Creates a generator.
   *
   * @param tenants how many tenants there are
   * @param keys popularity of the keys
   */
  RequestGenerator(
      Clock clock,
      Random random,
      FakeClients.Habits behavior,
      List<FakeClients.RequestClass> requestClasses,
      int tenants,
      ZipfDistribution keys) {
    this.clock = clock;
    this.random = random;
    this.behavior = behavior;
    this.requestClasses = requestClasses;
    this.tenants = tenants;
    this.keys = keys;
  }

  /** Draws the next request; the order of the draws is part of what a seed stands for. */
  ClientRequest next() {
    FakeClients.RequestClass requestClass = drawRequestClass();
    int tenant = drawTenant();
    boolean keyed = requestClass.effect() == FakeClients.Effect.IDEMPOTENCY_KEYED;
    String idempotencyKey = keyed ? RandomIds.next(random) : "";
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
