package pathgw.algorithm;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests which holders are shed when memory is used up. */
@Timeout(10)
class MemoryBudgetTest {
  private final List<String> shed = new ArrayList<>();
  private final Duration now = Duration.ofSeconds(10);
  private final MemoryBudget budget = new MemoryBudget(100, () -> now);

  /** A holder that is told from others by its identity, as those of connections are. */
  private final class TestHolder implements MemoryBudget.Holder {
    private final String name;
    private final boolean canBeShed;
    private final Duration lastProgressAt;

    TestHolder(String name, boolean canBeShed, Duration lastProgressAt) {
      this.name = name;
      this.canBeShed = canBeShed;
      this.lastProgressAt = lastProgressAt;
    }

    @Override
    public boolean canBeShed() {
      return canBeShed;
    }

    @Override
    public Duration lastProgressAt() {
      return lastProgressAt;
    }

    @Override
    public void shed() {
      shed.add(name);
    }
  }

  private MemoryBudget.Holder holder(String name, boolean canBeShed, long progressMillisAgo) {
    return new TestHolder(name, canBeShed, now.minusMillis(progressMillisAgo));
  }

  @Test
  void nothingIsShedWithinTheLimit() {
    budget.update(holder("a", true, 5000), 60);
    budget.update(holder("b", true, 0), 40);
    assertEquals(100, budget.totalBytes());
    assertEquals(List.of(), shed);
  }

  @Test
  void holdersThatHaveStoppedAreShedBeforeLargerOnesThatMakeProgress() {
    budget.update(holder("stopped", true, 200), 20);
    budget.update(holder("stopped longer", true, 300), 10);
    budget.update(holder("large", true, 0), 70);
    budget.update(holder("new", true, 0), 25);
    assertEquals(List.of("stopped longer", "stopped"), shed);
    assertEquals(95, budget.totalBytes());
  }

  @Test
  void largestIsShedIfAllMakeProgress() {
    budget.update(holder("a", true, 50), 30);
    budget.update(holder("b", true, 0), 40);
    budget.update(holder("c", true, 0), 35);
    assertEquals(List.of("b"), shed);
  }

  @Test
  void holdersThatLoseWhatWasAcceptedAreKept() {
    budget.update(holder("responses", false, 5000), 150);
    budget.update(holder("command", true, 0), 10);
    assertEquals(List.of("command"), shed);
    assertEquals(150, budget.totalBytes());
  }

  @Test
  void releasedBytesAreFreeAgain() {
    MemoryBudget.Holder holder = holder("a", true, 0);
    budget.update(holder, 90);
    budget.update(holder, 0);
    budget.update(holder("b", true, 0), 100);
    assertEquals(List.of(), shed);
  }
}
