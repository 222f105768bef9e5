package pathgw.fake.server;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Stores the idempotency keys that a group of servers has received, each with the receipt of its
 * first request. A key is kept for a fixed deduplication window that begins with its first request.
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

  /** Ordered by expiry: keys are added in the order of time and all have the same retention. */
  private final Map<String, Entry> entries = new LinkedHashMap<>();

  /**
   * Creates a store without keys.
   *
   * @param retention how long a key is kept after its first request
   */
  public DedupMemory(Duration retention) {
    this.retention = retention;
  }

  /**
   * Returns whether a key is already stored; adds it if it is not.
   *
   * @param now time since the start of the run
   * @param onReceipt receives the first request's receipt if this request repeats it: immediately
   *     if the first request has completed, otherwise when it completes
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

  /** Stores the receipt of a completed request and passes it to the repeats that wait for it. */
  void complete(String idempotencyKey, String receipt) {
    Entry entry = entries.get(idempotencyKey);
    if (entry != null && entry.receipt == null) {
      entry.receipt = receipt;
      entry.waitingRepeats.forEach(repeat -> repeat.accept(receipt));
      entry.waitingRepeats.clear();
    }
  }
}
