package pathgw.decision;

import java.time.Duration;
import java.util.List;

/**
 * The settings of {@link DecisionEngine}.
 *
 * @param proxies the number of proxies that share the load, this one included
 * @param readThrough read-through: cache nodes fetch what they lack themselves; otherwise
 *     (look-aside) a miss comes back to the proxy
 * @param originKind the machine kind of the origin in the endpoint list, or -1 if there is none
 * @param requestClasses the request classes, by their index
 * @param quotas each tenant's quota in requests a second over all proxies, by its index
 * @param maxAttempts the most attempts of one request
 * @param mayHedge whether a request may have several attempts in flight
 * @param mayCancel whether attempts in flight can be cancelled
 * @param mayGossip whether proxies report outcomes to each other
 * @param maxRetryAfter the Retry-After of a rejection; zero where clients do not read it
 * @param endpointListOnRequest whether the endpoint list comes only when watched or polled
 * @param pollInterval how long the endpoint list may be used without a call
 * @param clockResolution the resolution of time
 * @param warmUpStart the fraction of its load that a node can bear just after its start
 * @param warmUpTime how long a node warms up
 * @param overloadFactor how many times its warm load overloads a node
 * @param overloadTime the time over which such a load must last
 * @param openCost what 100 connections left open at each cache node cost, as a fraction of all
 *     capacity
 * @param handshakeCost what a new connection for each request costs, as such a fraction
 * @param orderedReplies whether responses on one connection come in the order of its requests
 */
public record Settings(
    int proxies,
    boolean readThrough,
    int originKind,
    List<RequestClass> requestClasses,
    List<Double> quotas,
    int maxAttempts,
    boolean mayHedge,
    boolean mayCancel,
    boolean mayGossip,
    Duration maxRetryAfter,
    boolean endpointListOnRequest,
    Duration pollInterval,
    Duration clockResolution,
    double warmUpStart,
    Duration warmUpTime,
    double overloadFactor,
    Duration overloadTime,
    double openCost,
    double handshakeCost,
    boolean orderedReplies) {

  /** How far a request may be repeated. */
  public enum Effect {
    /** Freely. */
    IDEMPOTENT,
    /** Where and as long as its idempotency key is remembered. */
    IDEMPOTENCY_KEYED,
    /** Never, once it may have run. */
    AT_MOST_ONCE
  }

  /** Which cache nodes share their memory of idempotency keys. */
  public enum DedupScope {
    /** All cache nodes. */
    ALL,
    /** The nodes of one zone. */
    ZONE,
    /** The nodes of one cell, a small failure domain. */
    CELL
  }

  /**
   * One class of requests.
   *
   * @param effect how far its requests may be repeated
   * @param dedupScope which nodes deduplicate its keyed requests
   * @param dedupWindow how long they remember a key
   * @param latencyObjective the latency within which a response has its whole worth
   * @param deadline the time from a client's first try to the deadline
   * @param priorityWeight what a response within the objective is worth
   * @param lateWeight the share of the priority weight left after the latency objective
   */
  public record RequestClass(
      Effect effect,
      DedupScope dedupScope,
      Duration dedupWindow,
      Duration latencyObjective,
      Duration deadline,
      double priorityWeight,
      double lateWeight) {}
}
