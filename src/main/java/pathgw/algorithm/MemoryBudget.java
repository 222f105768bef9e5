package pathgw.algorithm;

import java.time.Duration;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Bounds the sum of the bytes that several holders keep in memory. When it is exceeded, holders are
 * shed until it is kept again: first those that have stopped making progress, the longest stopped
 * first, then the largest.
 */
public final class MemoryBudget {
  /** Something that keeps bytes in memory; told from others by its identity. */
  public interface Holder {
    /** Whether the bytes can be dropped without losing anything that has been accepted. */
    boolean canBeShed();

    /** When bytes were last added. */
    Duration lastProgressAt();

    /** Drops the bytes, and does not ask for more. */
    void shed();
  }

  /** A holder without progress for this long has stopped. */
  private static final Duration STALL_TIME = Duration.ofMillis(100);

  private static final Comparator<Map.Entry<Holder, Long>> BY_PROGRESS =
      Comparator.comparing(entry -> entry.getKey().lastProgressAt());

  private final long limitBytes;
  private final Supplier<Duration> clock;
  private final Map<Holder, Long> heldBytes = new LinkedHashMap<>();
  private long totalBytes;

  /**
   * Creates a budget of which nothing is used.
   *
   * @param limitBytes the maximum of the sum, unless no holder can be shed
   * @param clock the time on the clock of {@link Holder#lastProgressAt}
   */
  public MemoryBudget(long limitBytes, Supplier<Duration> clock) {
    this.limitBytes = limitBytes;
    this.clock = clock;
  }

  /** The bytes that all holders keep. */
  public long totalBytes() {
    return totalBytes;
  }

  /**
   * Records how many bytes a holder keeps now. May shed holders, also this one.
   *
   * @param bytes 0 once the holder keeps nothing
   */
  public void update(Holder holder, long bytes) {
    set(holder, bytes);
    boolean mayShed = true;
    while (mayShed && totalBytes > limitBytes) {
      Optional<Holder> victim = chooseVictim();
      victim.ifPresent(this::shed);
      mayShed = victim.isPresent();
    }
  }

  private void set(Holder holder, long bytes) {
    Long before = bytes == 0 ? heldBytes.remove(holder) : heldBytes.put(holder, bytes);
    totalBytes += bytes - (before == null ? 0 : before);
  }

  private void shed(Holder holder) {
    set(holder, 0);
    holder.shed();
  }

  private Optional<Holder> chooseVictim() {
    Optional<Map.Entry<Holder, Long>> longestStopped =
        heldBytes.entrySet().stream().filter(e -> e.getKey().canBeShed()).min(BY_PROGRESS);
    Duration stoppedBefore = clock.get().minus(STALL_TIME);
    if (longestStopped.isEmpty()
        || longestStopped.get().getKey().lastProgressAt().compareTo(stoppedBefore) <= 0) {
      return longestStopped.map(Map.Entry::getKey);
    }
    return heldBytes.entrySet().stream()
        .filter(entry -> entry.getKey().canBeShed())
        .max(Map.Entry.comparingByValue())
        .map(Map.Entry::getKey);
  }
}
