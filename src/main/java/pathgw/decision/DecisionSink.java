package pathgw.decision;

import java.time.Duration;

/** What a decision of {@link DecisionEngine} becomes; a front carries each call out at once. */
public interface DecisionSink {
  /**
   * Attempts of a request are numbered 0, 1, 2 ... in the order of these calls.
   *
   * @param sendWithin not written by then it must not be written at all, and counts as never sent
   */
  void attempt(long request, Duration patience, Duration sendWithin, long node);

  void cancel(long request, int attempt);

  /** Final: the client may safely try again, after {@code retryAfter} where that is not zero. */
  void reject(long request, Duration retryAfter);

  /** Final: promises nothing about the effect. */
  void fail(long request);

  /** Asks for one {@link DecisionEngine#timer()} call; earlier ones still come. */
  void wake(Duration in);

  /** Tells every other proxy how an attempt to a node went; may be lost. */
  void gossip(long node, boolean success);

  /** Closes what connections to a node stand idle; what is out on others goes on. */
  void closeIdle(long node);

  void watchEndpoints();

  void pollEndpoints();
}
