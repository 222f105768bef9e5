package pathgw.fake.client;

import java.time.Duration;

/**
 * One class of requests.
 *
 * @param retriedAfterAnyFailure whether clients retry an idempotency-keyed request after any
 *     failure
 * @param deadline how long a client wants the result, over all its attempts
 * @param attemptTimeout how long a client waits for one attempt
 * @param share share of all requests, 0 to 1
 */
public record RequestClass(
    String name,
    Effect effect,
    boolean retriedAfterAnyFailure,
    Duration deadline,
    Duration attemptTimeout,
    double share) {
  /** How far a request may be repeated. */
  public enum Effect {
    /** Any number of times. */
    IDEMPOTENT,

    /** Any number of times with the same idempotency key, while the servers remember the key. */
    IDEMPOTENCY_KEYED,

    /** Only where the first attempt is known not to have run. */
    AT_MOST_ONCE
  }
}
