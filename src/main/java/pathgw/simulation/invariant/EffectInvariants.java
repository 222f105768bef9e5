package pathgw.simulation.invariant;

import static pathgw.simulation.invariant.RunContext.NANOS_PER_MILLI;

import pathgw.fake.Request;
import pathgw.fake.client.RequestClass.Effect;
import pathgw.simulation.invariant.RequestRecord.AttemptRecord;

/**
 * Rule 2: a request takes effect at most as often as its request class allows.
 *
 * <p>The check uses what a proxy can know, not what really happened: an attempt whose last byte was
 * written may have run, unless its target reported that it did not.
 */
final class EffectInvariants {
  private static final int RULE = 2;

  private final RunContext run;

  EffectInvariants(RunContext run) {
    this.run = run;
  }

  /** Checks an attempt against all earlier attempts of its request that may have run. */
  void attemptSent(RequestRecord request, String target, long startedAtNanos) {
    Effect effect = request.clientAttempt.requestClass().effect();
    for (AttemptRecord earlier : request.attempts) {
      if (!earlier.neverRan && !mayRetry(effect, earlier, target, startedAtNanos)) {
        long elapsedMs = (startedAtNanos - earlier.sentAtNanos) / NANOS_PER_MILLI;
        run.violations.report(
            RULE,
            "resend",
            String.format(
                "%s (%s) was forwarded to %s although %s may have run it %d ms earlier",
                request.id(), effect, target, earlier.target, elapsedMs));
      }
    }
  }

  private boolean mayRetry(
      Effect effect, AttemptRecord earlier, String target, long startedAtNanos) {
    return switch (effect) {
      case IDEMPOTENT -> true;
      case AT_MOST_ONCE -> false;
      case IDEMPOTENCY_KEYED ->
          startedAtNanos <= earlier.sentAtNanos + run.limits.dedupWindowNanos()
              && sharesDedupMemory(earlier.target, target);
    };
  }

  private boolean sharesDedupMemory(String target, String other) {
    return switch (run.limits.dedupScope()) {
      case "all" -> true;
      case "zone" -> run.cluster.zone(target) == run.cluster.zone(other);
      default -> run.cluster.failureDomain(target) == run.cluster.failureDomain(other);
    };
  }

  /** Records that a target accepted a request, and checks that a write is not applied twice. */
  void recordAcceptance(String target, Request command, boolean deduplicated) {
    RequestRecord request = run.request(command.id());
    if (request == null || !command.write() || deduplicated) {
      return;
    }
    request.appliedWrites++;
    if (request.appliedWrites == 1) {
      return;
    }
    // A stalled node may run an earlier attempt after the remembered key of a permitted retry has
    // expired. No proxy can know that, so it is counted but is no violation.
    if (request.clientAttempt.requestClass().effect() == Effect.IDEMPOTENCY_KEYED) {
      run.counters.count("idempotency-keyed request ran twice, each attempt permitted");
    } else {
      run.violations.report(RULE, "twice", request.id() + " was applied again at " + target);
    }
  }

  /** Checks a rejection: it tells the client that the request did not run. */
  void rejected(RequestRecord request) {
    Effect effect = request.clientAttempt.requestClass().effect();
    boolean retryIsSafe =
        effect == Effect.IDEMPOTENT
            || (effect == Effect.IDEMPOTENCY_KEYED && run.limits.dedupScope().equals("all"));
    if (!retryIsSafe && request.mayHaveRun()) {
      run.violations.report(
          RULE, "denied", request.id() + " (" + effect + ") was rejected although it may have run");
    }
  }
}
