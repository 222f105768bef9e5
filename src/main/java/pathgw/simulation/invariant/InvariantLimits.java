package pathgw.simulation.invariant;

/**
 * The bounds that the rules name, as the settings of the run have them.
 *
 * @param responseSlackNanos how long after a deadline a response or an attempt may still come
 * @param drainGraceNanos how long after a notification a draining node may get new requests
 * @param maxAttempts attempts of one request
 * @param dedupScope which nodes share their memory of idempotency keys: {@code all}, {@code zone}
 *     or {@code cell}
 * @param dedupWindowNanos how long an idempotency key is remembered
 * @param maxDescriptors file descriptors of a proxy
 */
public record InvariantLimits(
    long responseSlackNanos,
    long drainGraceNanos,
    int maxAttempts,
    String dedupScope,
    long dedupWindowNanos,
    int maxDescriptors) {}
