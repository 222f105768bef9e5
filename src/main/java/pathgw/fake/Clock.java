package pathgw.fake;

import java.time.Duration;

/** The clock and the timers of the process of one fake. */
public interface Clock {
  /** Returns the time since the start of the run. */
  Duration now();

  /**
   * Starts a timer.
   *
   * @param task runs once after the delay; doesn't run if the process has ended by then
   */
  void schedule(Duration delay, Runnable task);
}
