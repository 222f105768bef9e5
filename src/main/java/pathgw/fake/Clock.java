package pathgw.fake;

import java.time.Duration;

/** The clock and the timers of one fake; its timers end with its process. */
public interface Clock {
  /** The time since the start of the run. */
  Duration now();

  /**
   * Starts a timer.
   *
   * @param task runs once after the delay, unless the process has ended by then
   */
  void schedule(Duration delay, Runnable task);
}
