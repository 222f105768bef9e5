package pathgw.fake;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * What a group remembers of marked requests: the receipt of the first, for a while from when it
 * began.
 */
public final class DedupMemory {
  private static final class Known {
    final Duration until;
    String receipt;
    final List<Consumer<String>> waiting = new ArrayList<>();

    Known(Duration until) {
      this.until = until;
    }
  }

  private final Duration span;
  private final Map<String, Known> known = new LinkedHashMap<>();

  public DedupMemory(Duration span) {
    this.span = span;
  }

  /**
   * Whether this mark is known; if so {@code receipt} hears what the first was given, once it has
   * one.
   */
  boolean repeats(String mark, Duration now, Consumer<String> receipt) {
    Iterator<Known> oldest = known.values().iterator();
    while (oldest.hasNext() && oldest.next().until.compareTo(now) <= 0) {
      oldest.remove();
    }
    Known k = known.get(mark);
    if (k == null) {
      known.put(mark, new Known(now.plus(span)));
      return false;
    }
    if (k.receipt != null) {
      receipt.accept(k.receipt);
    } else {
      k.waiting.add(receipt);
    }
    return true;
  }

  void done(String mark, String receipt) {
    Known k = known.get(mark);
    if (k != null && k.receipt == null) {
      k.receipt = receipt;
      k.waiting.forEach(w -> w.accept(receipt));
      k.waiting.clear();
    }
  }
}
