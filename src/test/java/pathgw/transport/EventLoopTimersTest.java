package pathgw.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Timers whose event loop the test runs, in the order in which one that was blocked does. */
class EventLoopTimersTest {
  private final List<Runnable> scheduled = new ArrayList<>();
  private long nanos;
  private final EventLoopTimers timers =
      new EventLoopTimers(
          () -> nanos,
          0,
          (delay, task) -> {
            scheduled.add(task);
            return () -> scheduled.remove(task);
          });

  private void advance(long ms) {
    nanos += Duration.ofMillis(ms).toNanos();
  }

  /**
   * The loop was blocked for 183 ms and at once for 207 more; the timer that ends the first lag was
   * due after the one that reported the second. Two connections whose commands had been unread for
   * 370 ms were closed as idle.
   */
  @Test
  void secondBlockDoesNotEndWithTheFirst() {
    timers.schedule(Duration.ofMillis(1), () -> timers.schedule(Duration.ofMillis(1), () -> {}));
    advance(184);
    scheduled.remove(0).run();
    Runnable endOfFirst = scheduled.remove(0);
    advance(208);
    scheduled.remove(0).run();
    Runnable endOfSecond = scheduled.remove(0);
    endOfFirst.run();
    assertFalse(timers.hasCaughtUp(), "nothing has been read since");
    assertEquals(Duration.ofMillis(207), timers.lag());
    endOfSecond.run();
    assertTrue(timers.hasCaughtUp());
  }
}
