package pathgw.algorithm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests what is admitted, and which holders are shed, when memory is used up. */
@Timeout(10)
class MemoryBudgetTest {
  private static final long LIMIT_BYTES = 100_000;

  private final List<String> shed = new ArrayList<>();
  private final Duration now = Duration.ofSeconds(10);
  private final MemoryBudget budget = new MemoryBudget(LIMIT_BYTES, () -> now);

  /** A holder that is told from others by its identity, as those of connections are. */
  private final class TestHolder implements MemoryBudget.Holder {
    private final String name;
    private final boolean canBeShed;
    private final Duration lastProgressAt;
    private long bytes;

    TestHolder(String name, boolean canBeShed, Duration lastProgressAt) {
      this.name = name;
      this.canBeShed = canBeShed;
      this.lastProgressAt = lastProgressAt;
    }

    @Override
    public long heldBytes() {
      return bytes;
    }

    @Override
    public long sheddableBytes() {
      return canBeShed ? bytes : 0;
    }

    @Override
    public Duration lastProgressAt() {
      return lastProgressAt;
    }

    @Override
    public void shed() {
      bytes = 0;
      shed.add(name);
    }
  }

  private TestHolder holder(String name, boolean canBeShed, long progressMillisAgo) {
    return new TestHolder(name, canBeShed, now.minusMillis(progressMillisAgo));
  }

  private void update(TestHolder holder, long bytes) {
    holder.bytes = bytes;
    budget.update(holder);
  }

  @Test
  void nothingIsShedWithinTheLimit() {
    update(holder("a", true, 5000), 60_000);
    update(holder("b", true, 0), 40_000);
    assertEquals(100_000, budget.totalBytes());
    assertEquals(List.of(), shed);
  }

  @Test
  void holdersThatHaveStoppedAreShedBeforeLargerOnesThatMakeProgress() {
    update(holder("stopped", true, 200), 20_000);
    update(holder("stopped longer", true, 300), 10_000);
    update(holder("large", true, 0), 70_000);
    update(holder("new", true, 0), 25_000);
    assertEquals(List.of("stopped longer", "stopped"), shed);
    assertEquals(95_000, budget.totalBytes());
  }

  @Test
  void largestIsShedIfAllMakeProgress() {
    update(holder("a", true, 50), 30_000);
    update(holder("b", true, 0), 40_000);
    update(holder("c", true, 0), 35_000);
    assertEquals(List.of("b"), shed);
  }

  @Test
  void holdersThatLoseWhatWasAcceptedAreKept() {
    update(holder("responses", false, 5000), 150_000);
    update(holder("command", true, 0), 10_000);
    assertEquals(List.of("command"), shed);
    assertEquals(150_000, budget.totalBytes());
  }

  @Test
  void releasedBytesAreFreeAgain() {
    TestHolder holder = holder("a", true, 0);
    update(holder, 90_000);
    update(holder, 0);
    update(holder("b", true, 0), 100_000);
    assertEquals(List.of(), shed);
  }

  @Test
  void bytesAreAdmittedUpToTheLimitAndAgainOnceOthersAreReleased() {
    assertTrue(budget.admits(70_000));
    budget.add(70_000);
    assertFalse(budget.admits(10_000), "a quarter is left to small requests");
    assertTrue(budget.admits(8_000));
    budget.add(30_000);
    assertFalse(budget.admits(1));
    budget.release(70_000);
    assertTrue(budget.admits(40_000));
  }

  @Test
  void thoseWhoWaitAreAdmittedInTurn() {
    List<String> admitted = new ArrayList<>();
    budget.add(70_000);
    budget.await(60_000, () -> admitted.add("large"));
    MemoryBudget.Waiter left = budget.await(10_000, () -> admitted.add("left"));
    budget.await(20_000, () -> admitted.add("last"));
    assertFalse(budget.admits(9_000), "it would overtake those who wait");
    budget.cancel(left);
    budget.release(50_000);
    assertEquals(List.of(), admitted);
    budget.release(10_000);
    assertEquals(List.of("large"), admitted);
    assertEquals(70_000, budget.totalBytes());
    budget.release(60_000);
    assertEquals(List.of("large", "last"), admitted);
  }

  @Test
  void roomIsMadeBySheddingHoldersThatHaveStoppedOnly() {
    update(holder("progressing", true, 0), 40_000);
    update(holder("stopped", true, 200), 30_000);
    assertTrue(budget.admits(30_000));
    assertEquals(List.of("stopped"), shed);
    assertFalse(budget.admits(60_000));
    assertEquals(40_000, budget.totalBytes());
  }
}
