package pathgw.request;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Supplier;
import pathgw.codec.MetaCommand;

/**
 * Remembers the ids of requests that may have been executed and must not be executed again. A
 * client may leave before the response and send its request once more, when nothing else of the
 * first one is kept. An id is remembered for a minute at least, unless thousands come in a minute.
 */
final class ExecutedRequests {
  private static final Duration GENERATION_TIME = Duration.ofMinutes(1);
  private static final int MAX_IDS_PER_GENERATION = 4096;

  private final Supplier<Duration> clock;

  /** The hashes of the ids, so that long ids take no more memory than short ones. */
  private Set<Long> current = new HashSet<>();

  private Set<Long> former = new HashSet<>();
  private Duration generationEndsAt;

  /**
   * Creates a memory without ids.
   *
   * @param clock supplies the time on the event loop's clock
   */
  ExecutedRequests(Supplier<Duration> clock) {
    this.clock = clock;
    generationEndsAt = clock.get().plus(GENERATION_TIME);
  }

  /** Remembers an id. */
  void add(String requestId) {
    boolean isOver = clock.get().compareTo(generationEndsAt) >= 0;
    if (isOver || current.size() == MAX_IDS_PER_GENERATION) {
      beginGeneration();
    }
    current.add(MetaCommand.hash(requestId));
  }

  private void beginGeneration() {
    former = current;
    current = new HashSet<>();
    generationEndsAt = clock.get().plus(GENERATION_TIME);
  }

  /** Whether an id is remembered. */
  boolean contains(String requestId) {
    long hash = MetaCommand.hash(requestId);
    return current.contains(hash) || former.contains(hash);
  }
}
