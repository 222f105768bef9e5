package pathgw.driver;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pathgw.fixture.NetworkFixture;

/** In which order the decision engine gets its inputs, and when its decisions are carried out. */
class DecisionDriverTest extends NetworkFixture {
  @Test
  void inputSubmittedByAnotherInputIsProcessedAfterIt() {
    List<String> order = new ArrayList<>();
    driver.submit(
        engine -> {
          driver.submit(later -> order.add("second"));
          order.add("first");
        });
    assertEquals(List.of("first", "second"), order);
  }

  @Test
  void decisionsAreDeferredUntilALateEventLoopHasReadWhatArrived() {
    nodes("n1");
    timers.schedule(Duration.ofMillis(1), () -> {});
    clock.skip(Duration.ofMillis(50));
    asks();
    assertEquals(0, attempts(), "the node's draining may lie unread");
    after(1);
    after(2);
    assertEquals(1, attempts());
  }
}
