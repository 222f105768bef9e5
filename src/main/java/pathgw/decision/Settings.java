package pathgw.decision;

import java.time.Duration;
import java.util.List;

/**
 * The settings that {@link DecisionEngine} reads, decoded once by the front.
 *
 * @param proxies how many proxies share the work, this one included
 * @param through cache nodes fetch what they lack themselves; otherwise a miss comes back to the
 *     proxy
 * @param originKind the machine kind of the origin in the endpoint list, or -1
 * @param maxRetryAfter the longest wait a rejection may ask for; zero where clients are not told
 * @param endpointListOnRequest whether the endpoint list comes only when watched or fetched
 * @param pollInterval how long a list may be used unasked before its changes count as known
 * @param quotas for each tenant, requests a second over all proxies within its share
 * @param openPrice what 100 connections left open at each cache node cost of the service, all of
 *     which is 1
 * @param handshakePrice what a new connection for each request costs of it
 * @param ordered whether answers on one connection come in the order of its requests
 */
public record Settings(
    int proxies,
    boolean through,
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
    Duration step,
    double coldFrom,
    Duration coldFor,
    double tipMultiple,
    Duration fallFor,
    double openPrice,
    double handshakePrice,
    boolean ordered) {

  /** How far a request may be repeated. */
  public enum Effect {
    IDEMPOTENT,
    IDEMPOTENCY_KEYED,
    AT_MOST_ONCE
  }

  /** Which cache nodes drop the repeats of an idempotency-keyed request. */
  public enum Group {
    ALL,
    ZONE,
    CELL
  }

  /**
   * One class of requests.
   *
   * @param memory how long the group remembers an idempotency-keyed request
   * @param lateWeight the share of the priority weight left after the latency objective
   */
  public record RequestClass(
      Effect effect,
      Group group,
      Duration memory,
      Duration latencyObjective,
      Duration deadline,
      double priorityWeight,
      double lateWeight) {}
}
