package pathgw.transport;

/**
 * Bounds the time for which connections have waited in the accept queue. A connection that is
 * accepted now arrived after the queue was last found empty.
 */
final class AcceptQueueMonitor {
  private final int maxAcceptedPerIteration;
  private int acceptedInIteration;

  /** Whether the queue has not been found empty since {@link #waitingSinceNanos}. */
  private boolean waiting;

  private boolean waitingBeforeIterationEnd;
  private long waitingSinceNanos;

  /**
   * Creates a monitor of an empty queue.
   *
   * @param maxAcceptedPerIteration the number of connections after which an iteration of the event
   *     loop accepts no more, so that some may be left in the queue
   */
  AcceptQueueMonitor(int maxAcceptedPerIteration) {
    this.maxAcceptedPerIteration = maxAcceptedPerIteration;
  }

  /**
   * A connection has been accepted.
   *
   * @param lastEmptyNanos when the queue was empty at the latest, if it was found so before
   * @return a time before which it was not in the queue
   */
  long accepted(long lastEmptyNanos) {
    if (!waiting) {
      waiting = true;
      waitingSinceNanos = lastEmptyNanos;
    }
    acceptedInIteration++;
    return waitingSinceNanos;
  }

  /** An iteration has ended; {@link #failed} follows if it ended with a failed accept. */
  void iterationEnded() {
    waitingBeforeIterationEnd = waiting;
    waiting = acceptedInIteration >= maxAcceptedPerIteration;
    acceptedInIteration = 0;
  }

  /**
   * The iteration that has just ended could not accept the next connection.
   *
   * @param lastEmptyNanos when the queue was empty at the latest, if it was found so before
   */
  void failed(long lastEmptyNanos) {
    if (!waitingBeforeIterationEnd) {
      waitingSinceNanos = lastEmptyNanos;
    }
    waiting = true;
  }
}
