package pathgw.simulation;

/**
 * A rule that was broken.
 *
 * @param rule 1 to 4 as the deployment numbers them; 5 what the project asks of itself besides
 * @param kind says in one word what broke it; two runs that break a rule alike have the same
 */
record Violation(int rule, String kind, long atNanos, String text) {
  boolean like(Violation other) {
    return other != null && rule == other.rule && kind.equals(other.kind);
  }

  @Override
  public String toString() {
    return "rule " + rule + " broken at " + atNanos / 1_000_000 + " ms, " + kind + ": " + text;
  }
}
