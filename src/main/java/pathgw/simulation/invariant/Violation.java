package pathgw.simulation.invariant;

/**
 * A violation of a rule.
 *
 * @param rule 1 to 4 as numbered by the deployment's rules; 5 for the project's own requirements
 * @param kind a word for the way in which the rule was violated, used by kept scenarios and tests
 * @param atNanos virtual time of the violation, in nanoseconds since the run began
 * @param text a description for a human reader
 */
public record Violation(int rule, String kind, long atNanos, String text) {
  private static final int NANOS_PER_MILLI = 1_000_000;

  /** Whether the other violation has the same rule and kind, whatever its time and text. */
  public boolean isSameKindAs(Violation other) {
    return other != null && rule == other.rule && kind.equals(other.kind);
  }

  @Override
  public String toString() {
    return "rule "
        + rule
        + " broken at "
        + atNanos / NANOS_PER_MILLI
        + " ms, "
        + kind
        + ": "
        + text;
  }
}
