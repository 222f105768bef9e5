package pathgw.algorithm;

import java.time.Duration;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * Bounds the sum of the bytes that are kept in memory for others. Whoever knows in advance how many
 * bytes it is going to keep asks first, and waits or keeps nothing if they are not admitted. Bytes
 * whose number is not known in advance are recorded as they come, and while the limit is exceeded
 * holders are shed: first those that have stopped making progress, the longest stopped first, then
 * the largest.
 */
public final class MemoryBudget {
  /** Something that keeps bytes in memory; told from others by its identity. */
  public interface Holder {
    /** The bytes that it keeps now. */
    long heldBytes();

    /** The bytes among them that can be dropped without losing anything that was accepted. */
    long sheddableBytes();

    /** When bytes were last added. */
    Duration lastProgressAt();

    /** Drops the bytes that can be shed, and does not ask for more of them. */
    void shed();
  }

  /** Waits until bytes are admitted. */
  public static final class Waiter {
    private final long bytes;
    private final Runnable onAdmitted;

    private Waiter(long bytes, Runnable onAdmitted) {
      this.bytes = bytes;
      this.onAdmitted = onAdmitted;
    }
  }

  /** A holder without progress for this long has stopped. */
  private static final Duration STALL_TIME = Duration.ofMillis(100);

  /** More bytes than this are only admitted if they leave room for fewer. */
  private static final int MAX_SMALL_BYTES = 8 * 1024;

  /** The limit divided by this is left to those who ask for few bytes. */
  private static final int SMALL_SHARE_DIVISOR = 4;

  private static final Comparator<Holder> BY_PROGRESS =
      Comparator.comparing(Holder::lastProgressAt);
  private static final Comparator<Holder> BY_SIZE = Comparator.comparing(Holder::sheddableBytes);

  private final long limitBytes;
  private final Supplier<Duration> clock;
  private final Map<Holder, Long> heldBytes = new LinkedHashMap<>();
  private final Set<Waiter> waiters = new LinkedHashSet<>();
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

  /** The bytes that are kept. */
  public long totalBytes() {
    return totalBytes;
  }

  /** Whether bytes may be kept that could as well be kept elsewhere. */
  public boolean isHalfFree() {
    return totalBytes <= limitBytes / 2;
  }

  /**
   * Whether so many bytes more may be kept. Sheds holders that have stopped if that makes the room.
   */
  public boolean admits(long bytes) {
    while (!fits(bytes)) {
      Optional<Holder> stopped = longestStopped();
      if (stopped.isEmpty()) {
        return false;
      }
      shed(stopped.get());
    }
    return isSmall(bytes) || waiters.isEmpty();
  }

  private static boolean isSmall(long bytes) {
    return bytes <= MAX_SMALL_BYTES;
  }

  private boolean fits(long bytes) {
    long reserved = isSmall(bytes) ? 0 : limitBytes / SMALL_SHARE_DIVISOR;
    return totalBytes + bytes <= limitBytes - reserved;
  }

  /**
   * Waits behind others until so many bytes may be kept.
   *
   * @param onAdmitted runs once the bytes have been admitted, and added
   */
  public Waiter await(long bytes, Runnable onAdmitted) {
    Waiter waiter = new Waiter(bytes, onAdmitted);
    waiters.add(waiter);
    return waiter;
  }

  /** Ends the wait of one whose bytes have not been admitted. */
  public void cancel(Waiter waiter) {
    waiters.remove(waiter);
    admitWaiters();
  }

  private void admitWaiters() {
    while (!waiters.isEmpty() && fits(waiters.iterator().next().bytes)) {
      Waiter waiter = waiters.iterator().next();
      waiters.remove(waiter);
      totalBytes += waiter.bytes;
      waiter.onAdmitted.run();
    }
  }

  /** Records bytes that have been admitted and that no holder accounts for. */
  public void add(long bytes) {
    totalBytes += bytes;
  }

  /** Records that bytes that were added are no longer kept. */
  public void release(long bytes) {
    totalBytes -= bytes;
    admitWaiters();
  }

  /** Records how many bytes a holder keeps now. May shed holders, also this one. */
  public void update(Holder holder) {
    update(holder, 0);
  }

  /**
   * Records how many bytes a holder keeps now after it has given bytes away, or taken them over.
   * May shed holders, also this one.
   *
   * @param addedBytes the bytes that no holder accounts for any more; negative if this holder now
   *     accounts for bytes that were added before
   */
  public void update(Holder holder, long addedBytes) {
    totalBytes += addedBytes;
    record(holder);
    while (totalBytes > limitBytes) {
      Optional<Holder> victim = longestStopped().or(this::largest);
      if (victim.isEmpty()) {
        return;
      }
      shed(victim.get());
    }
  }

  private void record(Holder holder) {
    long bytes = holder.heldBytes();
    Long before = bytes == 0 ? heldBytes.remove(holder) : heldBytes.put(holder, bytes);
    totalBytes += bytes - (before == null ? 0 : before);
    admitWaiters();
  }

  private void shed(Holder holder) {
    holder.shed();
    record(holder);
  }

  private Stream<Holder> sheddable() {
    return heldBytes.keySet().stream().filter(holder -> holder.sheddableBytes() > 0);
  }

  private Optional<Holder> longestStopped() {
    Duration stoppedBefore = clock.get().minus(STALL_TIME);
    return sheddable()
        .filter(holder -> holder.lastProgressAt().compareTo(stoppedBefore) <= 0)
        .min(BY_PROGRESS);
  }

  private Optional<Holder> largest() {
    return sheddable().max(BY_SIZE);
  }
}
