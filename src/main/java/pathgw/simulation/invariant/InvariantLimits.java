package pathgw.simulation.invariant;

/**
 * The limits that the invariants check, taken from the settings of the run.
 *
 * @param responseSlackNanos how long after its deadline a request may still get a response or start
 *     an attempt
 * @param drainGraceNanos how long after the notification a draining node may still get new requests
 * @param maxAttempts the most attempts of one request
 * @param dedupScope which nodes share remembered idempotency keys: {@code all}, {@code zone} or
 *     {@code cell}
 * @param dedupWindowNanos how long an idempotency key is remembered
 * @param maxDescriptors the file descriptor limit of a proxy
 */
public record InvariantLimits(
    long responseSlackNanos,
    long drainGraceNanos,
    int maxAttempts,
    String dedupScope,
    long dedupWindowNanos,
    int maxDescriptors) {}
