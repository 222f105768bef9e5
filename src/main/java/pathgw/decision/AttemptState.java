package pathgw.decision;

import java.time.Duration;
import pathgw.decision.Settings.DedupScope;

/** One attempt of a request at one node. */
final class AttemptState {
  final RequestState request;

  /** The index of this attempt among the attempts of its request, from 0. */
  final int number;

  final NodeState node;

  /** The zone and the cell of the process that the attempt was sent to. */
  private final int zone;

  private final int cell;

  /** When the engine decided on the attempt. */
  final Duration sentAt;

  /** The outcome, or null while the attempt is in flight. */
  AttemptOutcome outcome;

  /** Whether the reply has arrived, which may be before the attempt ends. */
  boolean replyReceived;

  /**
   * Whether the timeout of {@link RetryBudget#attemptTimeoutSeconds} has passed while the attempt
   * was in flight. Unlike {@link AttemptOutcome#TIMED_OUT}, this does not end the attempt.
   */
  boolean timedOut;

  /**
   * Whether this is an origin fetch that was sent over the concurrency limit: the single fetch that
   * a limit below one allows from time to time, or a write.
   */
  boolean overLimit;

  AttemptState(RequestState request, NodeState node, Duration sentAt) {
    this.request = request;
    this.number = request.attempts.size();
    this.node = node;
    this.sentAt = sentAt;
    zone = node.zone;
    cell = node.cell;
  }

  /**
   * Whether a node knows the idempotency keys of the process that the attempt was sent to, given
   * the scope of the class. Another process may have come up under the same name elsewhere since.
   */
  boolean sharesDedupScope(DedupScope scope, NodeState other) {
    return switch (scope) {
      case ALL -> true;
      case ZONE -> zone == other.zone;
      case CELL -> cell == other.cell;
    };
  }

  /** Whether the node may have executed the request, also while the attempt is in flight. */
  boolean mayHaveRun() {
    return outcome == null || !outcome.neverRan();
  }
}
