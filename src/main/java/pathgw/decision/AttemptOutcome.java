package pathgw.decision;

/** How an attempt ended. */
public enum AttemptOutcome {
  DELIVERED,
  ERROR,
  FULL,
  TIMED_OUT,
  NO_CONNECTION,
  CUT,
  CANCELLED,
  NOT_SENT,
  MISS;

  /** Whether it ended by an answer or for want of one, neither early nor by chance. */
  boolean measuresLatency() {
    return this == DELIVERED || this == TIMED_OUT || this == CANCELLED;
  }

  public boolean neverRan() {
    return this == FULL || this == NO_CONNECTION || this == NOT_SENT || this == MISS;
  }
}
