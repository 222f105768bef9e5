package pathgw.fake.client;

import java.time.Duration;

/**
 * What a client wants, the same through all its attempts.
 *
 * @param tenant index in the list of tenants
 * @param idempotencyKey empty unless the request class has idempotency keys
 * @param createdAt when the client first wanted it, from which its deadline counts
 */
public record ClientRequest(
    RequestClass requestClass, int tenant, String key, String idempotencyKey, Duration createdAt) {
  /** Whether the client may send it again although an earlier attempt may have run. */
  boolean mayBeRetried() {
    return switch (requestClass.effect()) {
      case IDEMPOTENT -> true;
      case IDEMPOTENCY_KEYED -> requestClass.retriedAfterAnyFailure();
      case AT_MOST_ONCE -> false;
    };
  }

  /** What is left of the deadline; negative after it. */
  Duration remaining(Duration now) {
    return createdAt.plus(requestClass.deadline()).minus(now);
  }
}
