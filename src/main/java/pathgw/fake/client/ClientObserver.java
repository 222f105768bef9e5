package pathgw.fake.client;

import java.time.Duration;

/**
 * Receives the events that clients observe. After {@link #attemptSent}, exactly one of {@link
 * #answered}, {@link #attemptAbandoned}, {@link #connectionLost} and {@link #attemptTimedOut}
 * follows for each attempt.
 */
public interface ClientObserver {
  /**
   * Called when an attempt was written completely to a connection that the proxy had accepted.
   *
   * @param proxy index of the proxy, as in all methods
   */
  void attemptSent(ClientAttempt attempt, int proxy);

  /**
   * Called when a client has read an answer.
   *
   * @param attempt the attempt in flight; null if the client expected no answer
   * @param answer the answer's line, followed by a space and the value if there is one
   */
  void answered(ClientAttempt attempt, int proxy, String answer);

  /** Called when a client has closed its connection before an answer arrived. */
  void attemptAbandoned(ClientAttempt attempt, int proxy);

  /**
   * Called when a connection has ended without a complete answer.
   *
   * @param commandRead false if the proxy is known not to have read the whole command, true
   *     otherwise
   */
  void connectionLost(ClientAttempt attempt, int proxy, boolean commandRead);

  /**
   * Called when no answer has arrived by the timeout of the attempt plus the time in which the
   * client still reads late answers.
   */
  void attemptTimedOut(ClientAttempt attempt, int proxy);

  /**
   * Called when a client that sent a malformed command has received an error line, when its
   * connection has ended, or when it has stopped waiting.
   *
   * @param input names the malformed command that the client sent
   * @param responseTime the time from opening the connection to the error line or the close; null
   *     if neither was observed
   * @param answer the first line received; empty if there was none
   */
  void malformedInputEnded(int proxy, String input, Duration responseTime, String answer);
}
