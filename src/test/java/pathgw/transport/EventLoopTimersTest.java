package pathgw.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * The loop's timers, which the test lets fire in the order in which a loop that stands still does.
 */
class EventLoopTimersTest {
  private final List<Runnable> scheduled = new ArrayList<>();
  private long nanos;
  private final EventLoopTimers timers =
      new EventLoopTimers(
          () -> nanos,
          0,
          (span, what) -> {
            scheduled.add(what);
            return () -> scheduled.remove(what);
          });

  private void passes(long ms) {
    nanos += Duration.ofMillis(ms).toNanos();
  }

  /**
   * The loop stood still for 183 ms and at once for 207 more; the timer that ends the first was due
   * behind the one that told of the second. Two commands that had lain unread for 370 ms were cut
   * off as idle.
   */
  @Test
  void aSecondStopIsNotOverWithTheFirst() {
    timers.schedule(Duration.ofMillis(1), () -> timers.schedule(Duration.ofMillis(1), () -> {}));
    passes(184);
    scheduled.remove(0).run();
    Runnable firstIsOver = scheduled.remove(0);
    passes(208);
    scheduled.remove(0).run();
    Runnable secondIsOver = scheduled.remove(0);
    firstIsOver.run();
    assertFalse(timers.hasCaughtUp(), "nothing has been read since");
    assertEquals(Duration.ofMillis(207), timers.lag());
    secondIsOver.run();
    assertTrue(timers.hasCaughtUp());
  }
}
