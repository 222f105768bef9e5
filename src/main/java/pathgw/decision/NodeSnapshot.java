package pathgw.decision;

/**
 * What a proxy has learnt of one node and may start from after a restart, if the node has not
 * restarted. Latencies, limits, rates and machine kinds depend on the deployment and start anew.
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

  /** Whether all values are in a range that new outcomes can outweigh. */
  public boolean isValid() {
    return decayedSuccesses >= 0
        && decayedSuccesses <= MAX_VALUE
        && decayedFailures >= 0
        && decayedFailures <= MAX_VALUE
        && Math.abs(failureLogLikelihoodRatio) <= MAX_VALUE;
  }
}
