package pathgw.decision;

import static pathgw.algorithm.Durations.before;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import pathgw.algorithm.RendezvousHash;
import pathgw.algorithm.TokenBucketCache;

/**
 * Chooses the cache node by rendezvous hashing: the highest score for the key among ready nodes.
 * Hot keys are spread over all nodes, and a node that is overloaded, ejected or warming up may be
 * passed over for the next in score order.
 */
final class Placement {
  private static final int OVERLOAD_MIN_IN_FLIGHT = 3;
  private static final double OVERLOAD_RATIO = 2;
  private static final double HOT_KEY_MIN_BURST = 3;
  private static final int MAX_TRACKED_KEYS = 4096;
  private static final Duration TRACKED_KEY_MAX_AGE = Duration.ofSeconds(60);

  private final DecisionContext context;
  private final AttemptRules rules;
  private final SlowStart slowStart;
  private final NodeHealth health;
  private final TokenBucketCache keyBuckets = new TokenBucketCache();

  Placement(DecisionContext context, AttemptRules rules, SlowStart slowStart, NodeHealth health) {
    this.context = context;
    this.rules = rules;
    this.slowStart = slowStart;
    this.health = health;
  }

  /** The node for the request's next attempt; if all are passed over, the first that may be. */
  NodeState choose(RequestState request) {
    NodeState fallback = null;
    for (NodeState node : ranking(request)) {
      if (request.hasAttempted(node) || !rules.mayAttempt(request, node)) {
        continue;
      }
      if (fallback == null) {
        fallback = node;
      }
      if (!isOverloaded(node, request)
          && slowStart.keepsKey(node, request)
          && health.admits(node)) {
        return node;
      }
    }
    return fallback;
  }

  void endWindow() {
    keyBuckets.evict(context.now, MAX_TRACKED_KEYS, TRACKED_KEY_MAX_AGE);
  }

  private List<NodeState> ranking(RequestState request) {
    if (request.rankingVersion != context.endpoints.version()) {
      request.rankingVersion = context.endpoints.version();
      byte[] key = request.hashKey();
      List<NodeState> nodes = new ArrayList<>(context.endpoints.ready());
      nodes.forEach(node -> node.score = RendezvousHash.score(node.hashPrefix, key));
      nodes.sort((a, b) -> RendezvousHash.compare(b.score, b.id, a.score, a.id));
      request.ranking = nodes;
      if (request.attempts.isEmpty() && isHot(request.key)) {
        Collections.shuffle(nodes, context.random);
      }
    }
    return request.ranking;
  }

  /** Whether the key alone is asked for more often than a node's even share of all requests. */
  private boolean isHot(long key) {
    if (key == 0 || context.endpoints.ready().size() < 2) {
      return false;
    }
    double share = context.requestRate.perSecond() / context.endpoints.ready().size();
    // A rate alone would not do: one of hundreds of proxies sees the hottest key every few seconds.
    double burst = Math.max(HOT_KEY_MIN_BURST, share);
    return !keyBuckets.get(key, context.now).tryTake(context.now, share, burst);
  }

  private boolean isOverloaded(NodeState node, RequestState request) {
    return isBlocked(node, request)
        || (node.inFlight > OVERLOAD_MIN_IN_FLIGHT
            && node.inFlight
                > context.endpoints.perNode(OVERLOAD_RATIO * context.cacheAttemptsInFlight));
  }

  /** Where answers keep their order, a request with a short objective waits behind a long one. */
  private boolean isBlocked(NodeState node, RequestState request) {
    Duration objective = request.requestClass.latencyObjective();
    return context.settings.ordered()
        && node.inFlight > 0
        && before(objective.dividedBy(2), node.busyUntil.minus(context.now));
  }
}
