package pathgw.decision;

import static pathgw.algorithm.Durations.earlier;

import java.time.Duration;
import pathgw.decision.RequestState.NextStep;
import pathgw.decision.Settings.RequestClass;

/** The steps of a request from its arrival to its final response, and which one comes next. */
record RequestDecisions(
    DecisionContext context,
    AttemptRules rules,
    Placement placement,
    NodeHealth nodeHealth,
    SlowStart slowStart,
    RetryBudget retryBudget,
    OriginLimit originLimit,
    AdmissionControl admission) {
  static final Duration RATE_WINDOW = Duration.ofMillis(100);
  static final double RATE_MEMORY_SECONDS = 2;
  private static final int GIVE_UP_STEPS = 2;
  private static final int FIRST_TRY_TOLERANCE_STEPS = 4;

  /**
   * A repeat with another timeout than first tries have ends with the client's deadline, which
   * shows when the client first asked. An answer past its latency objective may be worth nothing.
   */
  void setTimes(RequestState request) {
    RequestClass properties = request.requestClass;
    Duration tolerance = context.settings.step().multipliedBy(FIRST_TRY_TOLERANCE_STEPS);
    boolean showsFirstTry = request.differsFromFirstTry(context.now, tolerance);
    Duration askedAt = showsFirstTry ? request.deadline.minus(properties.deadline()) : context.now;
    request.objectiveAt = earlier(request.deadline, askedAt.plus(properties.latencyObjective()));
    Duration worthUntil = properties.lateWeight() > 0 ? request.deadline : request.objectiveAt;
    request.giveUpAt = worthUntil.minus(context.settings.step().multipliedBy(GIVE_UP_STEPS));
  }

  /** The next step after an attempt, which brought the final response if {@code responded}. */
  void attemptEnded(AttemptState attempt, boolean responded) {
    RequestState request = attempt.request;
    boolean served = attempt.outcome == AttemptOutcome.SERVED;
    boolean last = !request.hasAttemptInFlight();
    if (last) {
      originLimit.release(request, served);
    }
    if (!request.ended && (responded || served)) {
      end(request, served && request.meetsObjectiveAt(context.now));
    }
    if (request.ended && last) {
      context.requestsById.remove(request.id);
    } else if (attempt.outcome == AttemptOutcome.MISS) {
      context.requestStep(request, NextStep.FETCH);
    } else if (last) {
      context.requestStep(request, NextStep.RETRY);
    }
  }

  /** Takes a step of a request; returns whether a decision was made, as the methods below do. */
  boolean take(NextStep step, RequestState request, DecisionSink sink) {
    if (step == NextStep.END || context.hasReached(request.giveUpAt)) {
      return finish(request, sink);
    }
    return switch (step) {
      case PLACE -> admission.rejects(request) ? finish(request, sink) : place(request, sink);
      case ASK_CACHE_AGAIN -> askCacheAgain(request, sink);
      case FETCH -> fetch(request, sink);
      case RETRY -> retry(request, sink);
      default -> false;
    };
  }

  private boolean place(RequestState request, DecisionSink sink) {
    if (!context.settings.through() && (request.write || !rules.leaseIsHeld())) {
      return fetch(request, sink);
    }
    NodeState node = placement.choose(request);
    return node == null ? finish(request, sink) : send(request, node, sink);
  }

  private boolean askCacheAgain(RequestState request, DecisionSink sink) {
    boolean asked = !request.attempts.isEmpty();
    NodeState node = asked ? request.lastAttempt().node : placement.choose(request);
    boolean leavesOneForOrigin = request.attempts.size() + 1 < context.settings.maxAttempts();
    boolean asksAgain = node != null && leavesOneForOrigin && rules.mayAttempt(request, node);
    return asksAgain ? send(request, node, sink) : fetch(request, sink);
  }

  private boolean fetch(RequestState request, DecisionSink sink) {
    return switch (originLimit.admit(request)) {
      case SEND -> sendToOrigin(request, sink);
      case WAIT -> false;
      case REJECT -> finish(request, sink);
    };
  }

  private boolean retry(RequestState request, DecisionSink sink) {
    if (!retryBudget.tryTake(request)) {
      return finish(request, sink);
    }
    if (context.endpoints.isOrigin(request.lastAttempt().node)) {
      double pauseSeconds = originLimit.retryPauseSeconds(request);
      context.schedule(pauseSeconds, () -> context.requestStep(request, NextStep.FETCH));
      return false;
    }
    // The last attempt is kept for the origin, where that is asked from here.
    int kept = context.settings.through() ? 0 : 1;
    return request.attempts.size() + kept < context.settings.maxAttempts()
        ? place(request, sink)
        : finish(request, sink);
  }

  boolean sendToOrigin(RequestState request, DecisionSink sink) {
    NodeState origin = context.endpoints.origin();
    return origin == null ? finish(request, sink) : send(request, origin, sink);
  }

  private boolean send(RequestState request, NodeState node, DecisionSink sink) {
    if (!rules.mayAttempt(request, node)) {
      return finish(request, sink);
    }
    AttemptState attempt = new AttemptState(request, node, context.now);
    request.attempts.add(attempt);
    node.inFlight++;
    if (context.endpoints.isOrigin(node)) {
      originLimit.attemptSent(attempt);
    } else {
      cacheAttemptSent(attempt);
    }
    Duration timeLeft = request.deadline.minus(context.now);
    sink.attempt(request.id, timeLeft, rules.sendWithin(request, node), node.id);
    return true;
  }

  private void cacheAttemptSent(AttemptState attempt) {
    RequestState request = attempt.request;
    NodeState node = attempt.node;
    node.expectAnswerBy(context.after(request.workScale * request.classState.latency.mean()));
    context.cacheAttemptsInFlight++;
    slowStart.attemptSent(node);
    context.schedule(retryBudget.attemptTimeoutSeconds(request), () -> attemptTimedOut(attempt));
  }

  private void attemptTimedOut(AttemptState attempt) {
    RequestState request = attempt.request;
    if (attempt.outcome != null || request.ended || request.streaming) {
      return;
    }
    attempt.timedOut = true;
    admission.attemptTimedOut(attempt);
    nodeHealth.observe(attempt.node, false);
    if (retryBudget.movesAfterTimeout(request)) {
      context.addAction(sink -> sink.cancel(request.id, attempt.number));
    }
  }

  /** The final response where no attempt has brought one. */
  private boolean finish(RequestState request, DecisionSink sink) {
    boolean mayReject = rules.mayReject(request);
    end(request, false);
    if (mayReject) {
      sink.reject(request.id, context.settings.maxRetryAfter());
    } else {
      sink.fail(request.id);
    }
    return true;
  }

  void end(RequestState request, boolean inTime) {
    request.ended = true;
    admission.requestEnded(request, inTime);
    request.recordResult(inTime);
    originLimit.requestEnded(request);
    if (!request.hasAttemptInFlight()) {
      context.requestsById.remove(request.id);
      originLimit.release(request, false);
    }
    if (context.settings.mayCancel()) {
      for (AttemptState attempt : request.attemptsInFlight()) {
        context.addAction(sink -> sink.cancel(request.id, attempt.number));
      }
    }
  }
}
