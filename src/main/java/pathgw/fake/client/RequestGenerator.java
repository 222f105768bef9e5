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
   * @param requestClasses the classes to draw from, with their shares
   * @param tenants the number of tenants
   * @param keys the distribution of the keys' indexes
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

  /**
   * Draws the next request. The order of the draws must not change: with another order a seed would
   * produce other runs.
   */
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

  /** Draws a tenant: the first has the weight {@code firstTenantWeight}, every other one 1. */
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
