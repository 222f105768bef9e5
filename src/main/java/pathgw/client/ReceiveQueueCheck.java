package pathgw.client;

import java.time.Duration;
import pathgw.transport.EventLoopTimers;

/**
 * Finds out whether everything that a client has written has been read. Commands may lie unread in
 * the kernel although the proxy has answered all that it has read: bytes that arrived while nothing
 * was read, or behind them, or while the event loop was busy. A connection that ends before they
 * are read loses them.
 */
final class ReceiveQueueCheck {
  private final EventLoopTimers timers;
  private final ClientInput input;
  private final Runnable onEnd;
  private EventLoopTimers.Timer timer;
  private long receivedBefore;
  private boolean foundEmpty;

  /**
   * Creates a check that has not started.
   *
   * @param input what is read from the client; must not be paused when a check starts
   * @param onEnd runs when a check has ended
   */
  ReceiveQueueCheck(EventLoopTimers timers, ClientInput input, Runnable onEnd) {
    this.timers = timers;
    this.input = input;
    this.onEnd = onEnd;
  }

  /** Whether the check that has just ended has found that nothing is unread. */
  boolean foundEmpty() {
    return foundEmpty;
  }

  /**
   * Starts a check unless one is in progress.
   *
   * @param waitUntil when bytes that are on their way will have arrived
   */
  void start(Duration waitUntil) {
    if (timer == null) {
      receivedBefore = input.receiveCount();
      timer = timers.scheduleAt(waitUntil, this::awaitIteration);
    }
  }

  /** What lies in the kernel now is read by the next iteration of the event loop. */
  private void awaitIteration() {
    timer = timers.schedule(Duration.ZERO, this::end);
  }

  private void end() {
    timer = null;
    foundEmpty = input.receiveCount() == receivedBefore;
    onEnd.run();
    foundEmpty = false;
  }

  /** Ends a check in progress without a result. */
  void cancel() {
    if (timer != null) {
      timers.cancel(timer);
      timer = null;
    }
  }
}
