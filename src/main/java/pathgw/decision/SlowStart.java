package pathgw.decision;

import static pathgw.algorithm.Durations.seconds;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import pathgw.algorithm.RendezvousHash;
import pathgw.algorithm.TokenBucket;

/**
 * Nodes that can bear less than others. One that has just started keeps a growing fraction of its
 * keys and has a budget of requests; a kind that is late more often than the best keeps fewer keys.
 */
final class SlowStart {
  private static final double LATE_SHARE_TOLERATED = 0.1;
  private static final double LATE_RATIO_TOLERATED = 1.5;
  private static final double LATE_SHARE_MEMORY = 32;
  private static final double KIND_MIN_KEY_FRACTION = 0.5;
  private static final double KEY_FRACTION_STEP = 0.01;
  private static final double BUDGET_MARGIN = 0.5;
  private static final double REDUCED_FLEET = 0.9;

  private final DecisionContext context;
  private final Map<Integer, NodeKind> kinds = new TreeMap<>();

  SlowStart(DecisionContext context) {
    this.context = context;
  }

  private double warmth(NodeState node) {
    return node.warmth(context.settings, context.now);
  }

  boolean keepsKey(NodeState node, RequestState request) {
    NodeKind kind = kinds.get(node.kind);
    double fraction = warmth(node) * (kind == null ? 1 : kind.keyFraction);
    return fraction >= 1
        || RendezvousHash.isWithinFraction(node.hashPrefix, request.hashKey(), fraction);
  }

  /** The budget follows what other nodes answer: in an overload they are sent far more. */
  boolean hasBudget(NodeState node) {
    if (!node.isWarmingUp(context.settings, context.now)) {
      return true;
    }
    double answered = Math.min(context.requestRate.perSecond(), context.answerRate.perSecond());
    // The floor is divided by the proxies: one kept by each would add up to more than is borne.
    double warmRate =
        Math.max(1.0 / context.settings.proxies(), context.endpoints.perNode(answered));
    double perSecond = BUDGET_MARGIN * context.settings.tipMultiple() * warmth(node) * warmRate;
    double burst = perSecond * seconds(context.settings.fallFor()) / 4;
    if (node.slowStartBudget == null) {
      // Less than one request starts at random, or all proxies would send their first at once.
      double start = burst < 1 ? burst + context.random.nextDouble() : burst;
      node.slowStartBudget = new TokenBucket(start, context.now);
    }
    // What is not sent lapses, or all proxies would send what they saved at the same moment.
    node.slowStartBudget.fillOrLapse(context.now, perSecond, burst);
    return node.slowStartBudget.tokens >= 1;
  }

  void attemptSent(NodeState node) {
    if (node.isWarmingUp(context.settings, context.now)) {
      node.slowStartBudget.tokens--;
    }
  }

  /** Keys are spread evenly over unlike machines, so a weak kind is full while others are idle. */
  void attemptEnded(AttemptState attempt, Duration latency) {
    if (!attempt.outcome.measuresLatency()) {
      return;
    }
    double objective = seconds(attempt.request.requestClass.latencyObjective());
    double late = seconds(latency) > objective / 2 ? 1 : 0;
    NodeKind kind = kinds.computeIfAbsent(attempt.node.kind, added -> new NodeKind());
    kind.lateShare += (late - kind.lateShare) / LATE_SHARE_MEMORY;
    double best = kinds.values().stream().mapToDouble(other -> other.lateShare).min().orElse(0);
    if (kind.lateShare > Math.max(LATE_SHARE_TOLERATED, LATE_RATIO_TOLERATED * best)) {
      kind.keyFraction = Math.max(KIND_MIN_KEY_FRACTION, kind.keyFraction - KEY_FRACTION_STEP);
    } else if (kind.lateShare <= Math.max(LATE_SHARE_TOLERATED / 2, best)) {
      kind.keyFraction = Math.min(1, kind.keyFraction + KEY_FRACTION_STEP / 2);
    }
  }

  /** All proxies see at once what is warming up or gone; overload shows to each only in time. */
  void endWindow() {
    int proxies = context.settings.proxies();
    double capacity = context.endpoints.ready().stream().mapToDouble(this::warmth).sum();
    context.capacityPerProxy = Math.max(context.capacityPerProxy, capacity / proxies);
    context.fleetReduced = capacity < REDUCED_FLEET * context.capacityPerProxy * proxies;
  }
}
