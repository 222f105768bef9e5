package pathgw.simulation.invariant;

/**
 * A rule that was violated.
 *
 * @param rule 1 to 4 as the deployment numbers them; 5 for what the project requires of itself
 *     besides
 * @param kind one word for the way in which it was violated; kept scenarios and tests name it
 * @param atNanos virtual time
 * @param text what happened, for a person
 */
public record Violation(int rule, String kind, long atNanos, String text) {
  private static final int NANOS_PER_MILLI = 1_000_000;

  /** Whether another run violated the same rule in the same way, whenever and with whatever. */
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
