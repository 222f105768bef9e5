package pathgw.simulation.invariant;

import java.util.function.LongSupplier;

/** Keeps the first violation of a run; later ones are only traced, since the run ends with it. */
final class ViolationLog {
  private final LongSupplier clock;
  private final Trace trace;
  private Violation first;

  ViolationLog(LongSupplier clock, Trace trace) {
    this.clock = clock;
    this.trace = trace;
  }

  void report(int rule, String kind, String text) {
    long now = clock.getAsLong();
    trace.addLine(now, () -> "BROKEN rule " + rule + ", " + kind + ": " + text);
    if (first == null) {
      first = new Violation(rule, kind, now, text);
    }
  }

  /** The first violation, or null. */
  Violation first() {
    return first;
  }
}
