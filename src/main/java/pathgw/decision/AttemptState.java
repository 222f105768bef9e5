package pathgw.decision;

import java.time.Duration;

/** One request given to one node. */
final class AttemptState {
  RequestState request;
  int number;
  NodeState node;
  Duration sent;
  AttemptOutcome how;
  boolean overdue;
  boolean alone;

  boolean mayHaveRun() {
    return how == null || !how.neverRan();
  }
}
