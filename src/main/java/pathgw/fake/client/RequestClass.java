package pathgw.fake.client;

import java.time.Duration;

/**
 * A class of requests with the same effect and deadline.
 *
 * @param name the name that requests carry
 * @param retriedAfterAnyFailure whether clients retry an idempotency-keyed request after any
 *     failure
 * @param deadline the time from a request's creation until the client has no use for its result,
 *     over all attempts
 * @param attemptTimeout how long a client waits for an answer to one attempt
 * @param share the share of all requests that belong to this class, 0 to 1
 */
public record RequestClass(
    String name,
    Effect effect,
    boolean retriedAfterAnyFailure,
    Duration deadline,
    Duration attemptTimeout,
    double share) {
  /** How often a request may be sent. */
  public enum Effect {
    /** Any number of times. */
    IDEMPOTENT,

    /** Any number of times with the same idempotency key, within the deduplication window. */
    IDEMPOTENCY_KEYED,

    /** Once; again only if the earlier attempts are known not to have been executed. */
    AT_MOST_ONCE
  }
}
