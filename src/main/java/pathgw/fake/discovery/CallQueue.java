package pathgw.fake.discovery;

import java.time.Duration;
import pathgw.fake.Clock;

/** Processes calls one after another at a fixed rate. */
final class CallQueue {
  private static final Duration MAX_WAIT = Duration.ofSeconds(3);
  private static final double NANOS_PER_SECOND = 1e9;

  private final Clock clock;

  /** Zero for no limit. */
  private double callsPerSecond;

  private Duration busyUntil = Duration.ZERO;

  CallQueue(Clock clock) {
    this.clock = clock;
  }

  /**
   * Sets the rate.
   *
   * @param callsPerSecond zero for no limit
   */
  void setRate(double callsPerSecond) {
    this.callsPerSecond = callsPerSecond;
  }

  /** How long a call that arrives now waits; null where it is rejected for too long a wait. */
  Duration enqueue() {
    if (callsPerSecond == 0) {
      return Duration.ZERO;
    }
    Duration now = clock.now();
    Duration startTime = busyUntil.compareTo(now) < 0 ? now : busyUntil;
    Duration wait = startTime.minus(now);
    if (wait.compareTo(MAX_WAIT) > 0) {
      return null;
    }
    busyUntil = startTime.plusNanos((long) (NANOS_PER_SECOND / callsPerSecond));
    return wait;
  }
}
