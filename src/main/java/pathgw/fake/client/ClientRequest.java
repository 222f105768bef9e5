package pathgw.fake.client;

import java.time.Duration;

/**
 * A request of a client, which stays the same in all its attempts.
 *
 * @param tenant index into the list of tenants
 * @param key the key that is read or written
 * @param idempotencyKey empty unless the request class has idempotency keys
 * @param createdAt when the client created the request, since the start of the run; the deadline
 *     counts from it
 */
public record ClientRequest(
    RequestClass requestClass, int tenant, String key, String idempotencyKey, Duration createdAt) {
  /** Returns whether the client may retry although an earlier attempt may have been executed. */
  boolean mayBeRetried() {
    return switch (requestClass.effect()) {
      case IDEMPOTENT -> true;
      case IDEMPOTENCY_KEYED -> requestClass.retriedAfterAnyFailure();
      case AT_MOST_ONCE -> false;
    };
  }

  /** Returns the time left until the deadline; negative after it. */
  Duration remaining(Duration now) {
    return createdAt.plus(requestClass.deadline()).minus(now);
  }
}
