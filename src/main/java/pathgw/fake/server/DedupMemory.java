package pathgw.fake.server;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The idempotency keys that a group of servers remembers. Each key is kept for a fixed time from
 * when its first request began, together with that request's receipt.
 */
public final class DedupMemory {
  private static final class Entry {
    final Duration expiresAt;
    final List<Consumer<String>> waitingRepeats = new ArrayList<>();

    /** Null until the first request has completed. */
    String receipt;

    Entry(Duration expiresAt) {
      this.expiresAt = expiresAt;
    }
  }

  private final Duration retention;

  /** In the order of expiry, since every key is kept for the same time. */
  private final Map<String, Entry> entries = new LinkedHashMap<>();

  /**
   * Creates an empty memory.
   *
   * @param retention how long a key is remembered
   */
  public DedupMemory(Duration retention) {
    this.retention = retention;
  }

  /**
   * Whether a key is remembered already; a new key is remembered from now on.
   *
   * @param onReceipt of a repeat: receives the first request's receipt, as soon as there is one
   */
  boolean isRepeat(String idempotencyKey, Duration now, Consumer<String> onReceipt) {
    removeExpired(now);
    Entry entry = entries.get(idempotencyKey);
    if (entry == null) {
      entries.put(idempotencyKey, new Entry(now.plus(retention)));
      return false;
    }
    if (entry.receipt != null) {
      onReceipt.accept(entry.receipt);
    } else {
      entry.waitingRepeats.add(onReceipt);
    }
    return true;
  }

  private void removeExpired(Duration now) {
    Iterator<Entry> oldest = entries.values().iterator();
    while (oldest.hasNext() && oldest.next().expiresAt.compareTo(now) <= 0) {
      oldest.remove();
    }
  }

  /** Stores the receipt of a completed request and answers the repeats that wait for it. */
  void complete(String idempotencyKey, String receipt) {
    Entry entry = entries.get(idempotencyKey);
    if (entry != null && entry.receipt == null) {
      entry.receipt = receipt;
      entry.waitingRepeats.forEach(repeat -> repeat.accept(receipt));
      entry.waitingRepeats.clear();
    }
  }
}
