package pathgw.simulation.invariant;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/** Counts how often each kind of event came in one run; {@code simulate --counts} prints them. */
public final class RunCounters {
  /** Marks the name of a maximum; every other counter is a sum. */
  private static final String MAXIMUM_SUFFIX = ", max";

  private static final long NANOS_PER_SECOND = 1_000_000_000;

  /** How often something came in the second in which it last came. */
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

  /** Counts what each proxy does alone over all of them: the sum, and the maximum in one second. */
  void countFleetWide(String name) {
    count("fleet " + name);
    long second = clock.getAsLong() / NANOS_PER_SECOND;
    long inSecond = secondCounts.computeIfAbsent(name, first -> new SecondCount()).add(second);
    maximum("fleet " + name + " in a second", inSecond);
  }

  /** The counters by name, in the order of their names. */
  public Map<String, Long> asMap() {
    return counts;
  }

  /** Adds the counters of one run to those of many: sums are added, maxima compared. */
  public static void mergeInto(Map<String, Long> total, Map<String, Long> run) {
    run.forEach(
        (name, value) ->
            total.merge(name, value, name.endsWith(MAXIMUM_SUFFIX) ? Math::max : Long::sum));
  }
}
