package pathgw.request;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests for how long the ids of executed requests are remembered. */
class ExecutedRequestsTest {
  private Duration now = Duration.ofHours(1);
  private final ExecutedRequests executed = new ExecutedRequests(() -> now);

  @Test
  void anIdIsRememberedForAMinuteAtLeast() {
    now = now.plusSeconds(59);
    executed.add("a");
    now = now.plusSeconds(60);
    executed.add("b");
    assertTrue(executed.contains("a"));
    assertTrue(executed.contains("b"));
    assertFalse(executed.contains("c"));
    now = now.plusSeconds(60);
    executed.add("c");
    assertFalse(executed.contains("a"));
    assertTrue(executed.contains("b"));
  }

  @Test
  void memoryForIdsIsBounded() {
    executed.add("first");
    for (int i = 0; i < 4096; i++) {
      executed.add("a" + i);
    }
    assertTrue(executed.contains("first"));
    for (int i = 0; i < 4096; i++) {
      executed.add("b" + i);
    }
    assertFalse(executed.contains("first"));
    assertTrue(executed.contains("a4095"));
  }
}
