package pathgw.fake.discovery;

import java.time.Duration;
import pathgw.fake.Clock;

/** Delays calls so that they are processed one after another, at a limited rate. */
final class CallQueue {
  private static final Duration MAX_WAIT = Duration.ofSeconds(3);
  private static final double NANOS_PER_SECOND = 1e9;

  private final Clock clock;

  /** The rate limit; zero for none. */
  private double callsPerSecond;

  private Duration busyUntil = Duration.ZERO;

  CallQueue(Clock clock) {
    this.clock = clock;
  }

  /**
   * Sets the rate at which calls are processed.
   *
   * @param callsPerSecond the rate; zero for no limit
   */
  void setRate(double callsPerSecond) {
    this.callsPerSecond = callsPerSecond;
  }

  /**
   * Enqueues a call that arrives now.
   *
   * @return how long the call waits; null if it is rejected because it would wait too long
   */
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
