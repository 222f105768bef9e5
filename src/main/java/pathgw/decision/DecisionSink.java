package pathgw.decision;

import java.time.Duration;

/** Carries out the decisions of {@link DecisionEngine}, each call at once. */
public interface DecisionSink {
  /**
   * Sends an attempt. Attempts of a request are numbered 0, 1, 2 ... in the order of these calls.
   *
   * @param timeout the time until the request's deadline
   * @param sendWithin the time in which it may be written; after that it must not be sent, and ends
   *     as {@link AttemptOutcome#NOT_SENT}
   */
  void attempt(long request, Duration timeout, Duration sendWithin, long node);

  /** Cancels an attempt in flight. */
  void cancel(long request, int attempt);

  /**
   * The final response: the request had no effect that a retry would repeat. The client may try
   * again, after {@code retryAfter} where that is not zero.
   */
  void reject(long request, Duration retryAfter);

  /** The final response: it is not known whether the request had an effect. */
  void fail(long request);

  /** Asks for a call of {@link DecisionEngine#decide} in that time; earlier ones still come. */
  void wake(Duration in);

  /** Reports the outcome of an attempt to all other proxies; the report may be lost. */
  void gossip(long node, boolean success);

  /** Closes the idle connections to a node; those in use stay open. */
  void closeIdle(long node);

  /** Watches the endpoint list. */
  void watchEndpoints();

  /** Polls the endpoint list once. */
  void pollEndpoints();
}
