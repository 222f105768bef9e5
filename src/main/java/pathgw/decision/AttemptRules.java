package pathgw.decision;

import static pathgw.algorithm.Durations.earlier;

import java.time.Duration;
import pathgw.decision.Settings.Effect;
import pathgw.decision.Settings.Group;
import pathgw.decision.Settings.RequestClass;

/**
 * The rules that every attempt keeps, whoever asks for it: it is sent before the deadline, to a
 * node that is ready under a lease on the endpoint list; it repeats nothing that could take effect
 * twice; and it stays within the budget of a node that is warming up.
 */
record AttemptRules(DecisionContext context, SlowStart slowStart) {

  boolean mayAttempt(RequestState request, NodeState node) {
    if (request.ended
        || context.hasReached(request.deadline)
        || node.state != EndpointState.READY
        || request.attempts.size() >= context.settings.maxAttempts()) {
      return false;
    }
    for (AttemptState earlier : request.attempts) {
      boolean hedged = earlier.outcome == null;
      if ((hedged && !context.settings.mayHedge())
          || (earlier.mayHaveRun() && !mayRepeat(earlier, node))) {
        return false;
      }
    }
    return context.endpoints.isOrigin(node) || (leaseIsHeld() && slowStart.hasBudget(node));
  }

  boolean leaseIsHeld() {
    return !context.hasReached(context.endpoints.leaseUntil);
  }

  private boolean mayRepeat(AttemptState earlier, NodeState node) {
    RequestClass requestClass = earlier.request.requestClass;
    return switch (requestClass.effect()) {
      case IDEMPOTENT -> true;
      case AT_MOST_ONCE -> false;
      case IDEMPOTENCY_KEYED ->
          earlier.node.sharesDedupGroup(requestClass.group(), node)
              && !context.hasReached(dedupWindowEnd(earlier));
    };
  }

  /**
   * Nodes remember a key from when they began; a quarter of that is left to transmit the repeat.
   */
  private static Duration dedupWindowEnd(AttemptState earlier) {
    Duration memory = earlier.request.requestClass.memory();
    return earlier.sentAt.plus(memory.multipliedBy(3).dividedBy(4));
  }

  /** A connection may take long to open: the last attempt must be written while it may be. */
  Duration sendWithin(RequestState request, NodeState node) {
    Duration lease =
        context.endpoints.isOrigin(node) ? request.deadline : context.endpoints.leaseUntil;
    Duration by = earlier(request.deadline, lease);
    for (AttemptState previous : request.attempts.subList(0, request.attempts.size() - 1)) {
      if (request.requestClass.effect() == Effect.IDEMPOTENCY_KEYED && previous.mayHaveRun()) {
        by = earlier(by, dedupWindowEnd(previous));
      }
    }
    return by.minus(context.now);
  }

  /** Whether the client may be told to try again: a rejection promises that this is safe. */
  boolean mayReject(RequestState request) {
    RequestClass requestClass = request.requestClass;
    return requestClass.effect() == Effect.IDEMPOTENT
        || (requestClass.effect() == Effect.IDEMPOTENCY_KEYED && requestClass.group() == Group.ALL)
        || request.attempts.stream().noneMatch(AttemptState::mayHaveRun);
  }
}
