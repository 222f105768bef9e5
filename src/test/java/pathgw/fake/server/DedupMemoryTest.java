package pathgw.fake.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class DedupMemoryTest {
  private static final Duration RETENTION = Duration.ofSeconds(5);

  private final DedupMemory memory = new DedupMemory(RETENTION);
  private final List<String> receipts = new ArrayList<>();

  @Test
  void repeatWaitsForTheFirstRequestsReceipt() {
    assertFalse(memory.isRepeat("key", Duration.ZERO, receipts::add));
    assertTrue(memory.isRepeat("key", Duration.ZERO, receipts::add));
    assertEquals(List.of(), receipts);
    memory.complete("key", "receipt");
    assertEquals(List.of("receipt"), receipts);
  }

  @Test
  void repeatAfterCompletionReceivesTheReceiptImmediately() {
    assertFalse(memory.isRepeat("key", Duration.ZERO, receipts::add));
    memory.complete("key", "receipt");
    assertTrue(memory.isRepeat("key", RETENTION.minusNanos(1), receipts::add));
    assertEquals(List.of("receipt"), receipts);
  }

  @Test
  void keyIsRemovedAfterTheRetentionTime() {
    assertFalse(memory.isRepeat("key", Duration.ZERO, receipts::add));
    memory.complete("key", "receipt");
    assertFalse(memory.isRepeat("key", RETENTION, receipts::add));
    assertEquals(List.of(), receipts);
  }
}
