package pathgw.decision;

/** How an attempt ended. */
public enum AttemptOutcome {
  /** The node answered with the value, or the write was done. */
  SERVED,
  /** The node answered with an error. */
  ERROR,
  /** The node refused the request without running it. */
  REJECTED,
  /** There was no answer in time. */
  TIMED_OUT,
  /** No connection could be opened. */
  CONNECT_FAILED,
  /** The connection ended before the answer. */
  CONNECTION_LOST,
  /** It was cancelled from here. */
  CANCELLED,
  /** It was not written within the time that it had for that. */
  NOT_SENT,
  /** The cache node does not have the value. */
  MISS;

  /** Whether its duration shows how fast the node answers: it was not cut short by a failure. */
  boolean measuresLatency() {
    return this == SERVED || this == TIMED_OUT || this == CANCELLED;
  }

  /** Whether it shows that the node is healthy or that it is not. */
  boolean isHealthEvidence() {
    return this != CANCELLED && this != NOT_SENT;
  }

  /** Whether the node answered as it should, with the value or without. */
  boolean isAnswer() {
    return this == SERVED || this == MISS;
  }

  /** Whether the request certainly had no effect at the node. */
  public boolean neverRan() {
    return this == REJECTED || this == CONNECT_FAILED || this == NOT_SENT || this == MISS;
  }
}
