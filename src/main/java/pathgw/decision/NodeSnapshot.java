package pathgw.decision;

/**
 * Health statistics of a node that a proxy keeps across its restart, provided that the node has not
 * restarted. Latencies, limits, rates and statistics of machine kinds are not kept, since they
 * depend on the deployment.
 *
 * @param decayedSuccesses the decayed number of successful outcomes
 * @param decayedFailures the decayed number of failed outcomes
 * @param failureLogLikelihoodRatio the log likelihood ratio of a raised against a usual failure
 *     rate
 * @param suspected whether the node is ejected for part of its requests
 */
public record NodeSnapshot(
    double decayedSuccesses,
    double decayedFailures,
    double failureLogLikelihoodRatio,
    boolean suspected) {
  private static final double MAX_VALUE = 10;

  /** Returns whether all values are in the range that new outcomes can outweigh. */
  public boolean isValid() {
    return decayedSuccesses >= 0
        && decayedSuccesses <= MAX_VALUE
        && decayedFailures >= 0
        && decayedFailures <= MAX_VALUE
        && Math.abs(failureLogLikelihoodRatio) <= MAX_VALUE;
  }
}
