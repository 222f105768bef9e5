package pathgw.simulation.invariant;

import java.util.function.LongSupplier;

/** Keeps the first violation of a run, which ends the run; later ones are only traced. */
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

  /** Returns the first violation, or null if there was none. */
  Violation first() {
    return first;
  }
}
