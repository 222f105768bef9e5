package pathgw.decision;

import java.time.Duration;
import pathgw.algorithm.Durations;
import pathgw.algorithm.LatencyEstimate;

/** What is known of one request class: its latency at cache nodes and what its clients send. */
final class RequestClassState {
  private static final int COST_HINT_SMOOTHING_SAMPLES = 32;

  final LatencyEstimate latency = new LatencyEstimate();

  /** The time from arrival to deadline of the last request that was a first try. */
  Duration firstTryTimeout = Duration.ZERO;

  private double meanCostHintSeconds;

  /** Whether requests name how much work they are. */
  boolean hasCostHints() {
    return meanCostHintSeconds != 0;
  }

  /**
   * How much longer than usual a request should take by the work it names; 1 where it names none.
   * Half of the latency is taken not to grow with the work: otherwise the lightest requests would
   * seem late whenever they queue.
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
