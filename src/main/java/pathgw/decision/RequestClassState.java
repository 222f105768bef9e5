package pathgw.decision;

import java.time.Duration;
import pathgw.algorithm.Durations;
import pathgw.algorithm.LatencyEstimate;

/** What is known of one request class: its latency at cache nodes and what its clients send. */
final class RequestClassState {
  private static final int WORK_MEMORY = 32;

  final LatencyEstimate latency = new LatencyEstimate();

  /** The time from arrival to deadline of the last request that was a first try. */
  Duration firstTryTimeout = Duration.ZERO;

  private double meanWork;

  /** Whether requests name how much work they are. */
  boolean hasCostHints() {
    return meanWork != 0;
  }

  /**
   * How much longer than usual a request should take by the work it names; 1 where it names none.
   * Half of the latency is taken not to grow with the work: otherwise the lightest requests would
   * seem late whenever they queue.
   */
  double scale(Duration costHint) {
    double seconds = Durations.seconds(costHint);
    if (seconds <= 0) {
      return 1;
    }
    meanWork = meanWork == 0 ? seconds : meanWork + (seconds - meanWork) / WORK_MEMORY;
    return (1 + seconds / meanWork) / 2;
  }
}
