package pathgw.fake.client;

import java.time.Duration;

/** Receives what clients saw; every attempt sent ends with exactly one of the next four events. */
public interface ClientObserver {
  /** An attempt was written completely to a connection that its proxy accepted. */
  void attemptSent(ClientAttempt attempt, int proxy);

  /**
   * A client has read an answer.
   *
   * @param attempt null where the client expected no answer
   * @param answer the answer's line, followed by a space and the value where there is one
   */
  void answered(ClientAttempt attempt, int proxy, String answer);

  /** The client closed its connection before it had an answer. */
  void attemptAbandoned(ClientAttempt attempt, int proxy);

  /**
   * The connection ended without a complete answer.
   *
   * @param commandRead whether the proxy had read the command, as far as that is known
   */
  void connectionLost(ClientAttempt attempt, int proxy, boolean commandRead);

  /** The client has waited until long after this attempt's deadline. */
  void attemptTimedOut(ClientAttempt attempt, int proxy);

  /**
   * A client that sent a malformed command has ended.
   *
   * @param input which malformed command it sent
   * @param responseTime the time to the error line or the close; null where neither came
   * @param answer the first line that came; empty where none did
   */
  void malformedInputEnded(int proxy, String input, Duration responseTime, String answer);
}
