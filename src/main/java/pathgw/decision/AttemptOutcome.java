package pathgw.decision;

/** How an attempt ended. */
public enum AttemptOutcome {
  SERVED,
  ERROR,
  REJECTED,
  TIMED_OUT,
  CONNECT_FAILED,
  CONNECTION_LOST,
  CANCELLED,
  NOT_SENT,
  MISS;

  /** Whether it ended by an answer or for want of one, neither early nor by chance. */
  boolean measuresLatency() {
    return this == SERVED || this == TIMED_OUT || this == CANCELLED;
  }

  public boolean neverRan() {
    return this == REJECTED || this == CONNECT_FAILED || this == NOT_SENT || this == MISS;
  }
}
