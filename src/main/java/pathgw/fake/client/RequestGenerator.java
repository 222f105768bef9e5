package pathgw.fake.client;

import java.util.List;
import java.util.Random;
import pathgw.fake.Clock;

/** Draws the clients' requests: request class, tenant and key. */
final class RequestGenerator {
  private static final String HOT_KEY = "khot";

  private final Clock clock;
  private final Random random;
  private final ClientBehavior behavior;
  private final List<RequestClass> requestClasses;
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
      ClientBehavior behavior,
      List<RequestClass> requestClasses,
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
    RequestClass requestClass = drawRequestClass();
    int tenant = drawTenant();
    boolean needsIdempotencyKey = requestClass.effect() == RequestClass.Effect.IDEMPOTENCY_KEYED;
    String idempotencyKey = needsIdempotencyKey ? RandomIds.next(random) : "";
    return new ClientRequest(requestClass, tenant, drawKey(), idempotencyKey, clock.now());
  }

  private RequestClass drawRequestClass() {
    double point = random.nextDouble();
    int index = 0;
    while (index < requestClasses.size() - 1 && point >= requestClasses.get(index).share()) {
      point -= requestClasses.get(index).share();
      index++;
    }
    return requestClasses.get(index);
  }

  /** Every tenant has the weight 1, but the first the weight {@code firstTenantWeight}. */
  private int drawTenant() {
    double totalWeight = tenants - 1 + behavior.firstTenantWeight;
    double point = random.nextDouble() * totalWeight - behavior.firstTenantWeight;
    return point < 0 ? 0 : Math.min(tenants - 1, 1 + (int) point);
  }

  private String drawKey() {
    if (random.nextDouble() < behavior.hotKeyShare) {
      return HOT_KEY;
    }
    return "k" + keys.next(random);
  }
}
