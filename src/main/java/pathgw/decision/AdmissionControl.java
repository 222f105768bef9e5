package pathgw.decision;

import static pathgw.algorithm.Durations.seconds;

import java.time.Duration;
import pathgw.algorithm.AimdLimit;
import pathgw.algorithm.DecayingCounts;
import pathgw.algorithm.SuccessCounts;

/**
 * Sheds load on arrival when all caches are congested: first what is over its tenant's quota, then
 * what is over an adaptive concurrency limit, with headroom for more than usual priority weight.
 */
final class AdmissionControl {
  private static final double CONGESTED_LATE_SHARE = 0.5;
  private static final double CONGESTED_LATENCY_RATIO = 2.5;
  private static final double LIMIT_MIN = 2;
  private static final double LIMIT_DECREASE = 0.9;
  private static final double HIGH_PRIORITY_RATIO = 1.2;
  private static final double HIGH_PRIORITY_HEADROOM = 1.5;
  private static final double PRIORITY_MEMORY = 64;
  private static final double QUOTA_MEMORY_SECONDS = 10;
  private static final double OVER_QUOTA_RATIO = 1.5;
  private static final double MISSED_SHARE_TOLERATED = 0.03;
  private static final double SPARE_DECREASE = 0.7;
  private static final double SPARE_INCREASE = 0.01;

  private final DecisionContext context;
  private final OriginLimit originLimit;
  private final AimdLimit limit;
  private final DecayingCounts demand;
  private double usualPriorityWeight;
  private double lateShare;
  private double spareShare = 1;
  private final SuccessCounts objectives = new SuccessCounts();

  AdmissionControl(DecisionContext context, OriginLimit originLimit) {
    this.context = context;
    this.originLimit = originLimit;
    limit = AimdLimit.initiallyUnlimited(LIMIT_MIN, context.limitHold);
    demand = new DecayingCounts(context.settings.quotas().size(), QUOTA_MEMORY_SECONDS);
  }

  boolean rejects(RequestState request) {
    double weight = request.requestClass.priorityWeight();
    usualPriorityWeight += (weight - usualPriorityWeight) / PRIORITY_MEMORY;
    boolean preferred = weight > HIGH_PRIORITY_RATIO * usualPriorityWeight;
    if (request.tenant < demand.size()) {
      // A repeat comes late and is worth less, so it must not take a first try's place.
      if (!request.repeat) {
        demand.add(request.tenant);
      }
      double quota = context.settings.quotas().get(request.tenant);
      double used = quotaSeconds(demand.count(request.tenant), quota);
      // A proxy that sees more than its even part of all tenants must not hold all to be greedy.
      double usual = Math.max(demand.seconds(), quotaSeconds(demand.total(), context.totalQuota));
      if (used > OVER_QUOTA_RATIO * usual && isStrained() && !isSpared(request, used)) {
        return true;
      }
      preferred |= used <= usual;
    }
    double headroom = preferred ? HIGH_PRIORITY_HEADROOM : 1;
    return context.cacheAttemptsInFlight >= limit.value() * headroom;
  }

  /** How long all proxies together would take for such a demand at this quota. */
  private double quotaSeconds(double requests, double quota) {
    return requests * context.settings.proxies() / quota;
  }

  /** Failures alone may come from one node or a slow key: without congestion all are admitted. */
  private boolean isStrained() {
    return (context.fleetReduced && lateShare > CONGESTED_LATE_SHARE / 8)
        || lateShare > CONGESTED_LATE_SHARE / 2
        || originLimit.isStrained();
  }

  /** Admits some at random, and at least as many first tries as the quota allows. */
  private boolean isSpared(RequestState request, double used) {
    double withinQuota = request.repeat ? 0 : demand.seconds() / used;
    return context.random.nextDouble() < Math.max(spareShare, withinQuota);
  }

  void attemptEnded(AttemptState attempt, Duration latency) {
    boolean observed = attempt.timedOut && attempt.request.classState.namesWork();
    if (attempt.outcome != AttemptOutcome.CONNECT_FAILED && !observed) {
      observeLatency(attempt, latency);
    }
  }

  /** Named work has objectives of seconds: its end would show congestion when more are lost. */
  void attemptTimedOut(AttemptState attempt) {
    if (attempt.request.classState.namesWork()) {
      observeLatency(attempt, attempt.request.requestClass.latencyObjective());
    }
  }

  /**
   * Most answers must be late against the best latency known: a few stuck nodes are no congestion.
   * Where requests name their work the best is that of the lightest, so the objective is taken.
   */
  private void observeLatency(AttemptState attempt, Duration latency) {
    double objective = seconds(attempt.request.requestClass.latencyObjective());
    RequestClassState known = attempt.request.classState;
    double congested =
        known.latency.isKnown() && !known.namesWork()
            ? CONGESTED_LATENCY_RATIO * known.latency.best()
            : objective;
    // A node that rejects at once is as congested as one that answers late.
    boolean late =
        attempt.outcome == AttemptOutcome.REJECTED
            || seconds(latency) > Math.min(congested, objective / 2);
    double memory = Math.max(8, Math.min(32, 2 * context.requestRate.perSecond()));
    lateShare += ((late ? 1 : 0) - lateShare) / memory;
    int inFlight = context.cacheAttemptsInFlight + 1;
    if (lateShare > CONGESTED_LATE_SHARE && late) {
      limit.decrease(Math.min(limit.value(), inFlight), LIMIT_DECREASE, context.now);
    } else if (lateShare < CONGESTED_LATE_SHARE / 2 && inFlight >= limit.value() / 2) {
      limit.increase(1, Double.POSITIVE_INFINITY);
    }
  }

  void requestEnded(RequestState request, boolean inTime) {
    if (inTime || !request.attempts.isEmpty()) {
      objectives.add(inTime);
    }
  }

  void endWindow(double seconds) {
    demand.pass(seconds);
    if (context.fleetReduced || objectives.failuresExceed(MISSED_SHARE_TOLERATED)) {
      spareShare *= SPARE_DECREASE;
    } else if (!objectives.isEmpty()) {
      spareShare = Math.min(1, spareShare + SPARE_INCREASE);
    }
    objectives.reset();
  }
}
