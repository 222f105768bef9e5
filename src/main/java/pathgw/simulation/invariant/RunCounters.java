package pathgw.simulation.invariant;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/** Counts the events of one run by kind; {@code simulate --counts} prints the counters. */
public final class RunCounters {
  /** Ends the name of each counter that holds a maximum; all other counters are sums. */
  private static final String MAXIMUM_SUFFIX = ", max";

  private static final long NANOS_PER_SECOND = 1_000_000_000;

  /** The number of occurrences within the current second. */
  private static final class SecondCount {
    private long second;
    private long count;

    long add(long currentSecond) {
      count = second == currentSecond ? count + 1 : 1;
      second = currentSecond;
      return count;
    }
  }

  private final LongSupplier clock;
  private final Map<String, Long> counts = new TreeMap<>();
  private final Map<String, SecondCount> secondCounts = new HashMap<>();

  RunCounters(LongSupplier clock) {
    this.clock = clock;
  }

  void count(String name) {
    counts.merge(name, 1L, Long::sum);
  }

  void maximum(String name, long value) {
    counts.merge(name + MAXIMUM_SUFFIX, value, Math::max);
  }

  /** Counts events of all proxies together: their sum, and their maximum within one second. */
  void countFleetWide(String name) {
    count("fleet " + name);
    long second = clock.getAsLong() / NANOS_PER_SECOND;
    long inSecond = secondCounts.computeIfAbsent(name, first -> new SecondCount()).add(second);
    maximum("fleet " + name + " in a second", inSecond);
  }

  /** Returns the counters, sorted by name. */
  public Map<String, Long> asMap() {
    return counts;
  }

  /**
   * Adds the counters of one run to the totals: sums are added, and of maxima the larger is kept.
   */
  public static void mergeInto(Map<String, Long> total, Map<String, Long> run) {
    run.forEach(
        (name, value) ->
            total.merge(name, value, name.endsWith(MAXIMUM_SUFFIX) ? Math::max : Long::sum));
  }
}
