package pathgw.decision;

import java.time.Duration;
import pathgw.algorithm.Durations;
import pathgw.algorithm.LatencyEstimate;

/** Statistics of one request class: its latency at cache nodes, its cost hints and its timeouts. */
final class RequestClassState {
  private static final int COST_HINT_SMOOTHING_SAMPLES = 32;

  final LatencyEstimate latency = new LatencyEstimate();

  /** The time from arrival to deadline of the most recent first try. */
  Duration firstTryTimeout = Duration.ZERO;

  private double meanCostHintSeconds;

  /** Whether requests of this class have cost hints. */
  boolean hasCostHints() {
    return meanCostHintSeconds != 0;
  }

  /**
   * Records a request's cost hint and returns its expected latency as a multiple of the mean
   * latency of the class; 1 if the hint is zero. Only half of the latency is assumed to grow with
   * the cost: otherwise the cheapest requests would count as late whenever they queue.
   */
  double recordCostHint(Duration costHint) {
    double seconds = Durations.seconds(costHint);
    if (seconds <= 0) {
      return 1;
    }
    meanCostHintSeconds =
        meanCostHintSeconds == 0
            ? seconds
            : meanCostHintSeconds + (seconds - meanCostHintSeconds) / COST_HINT_SMOOTHING_SAMPLES;
    return (1 + seconds / meanCostHintSeconds) / 2;
  }
}
