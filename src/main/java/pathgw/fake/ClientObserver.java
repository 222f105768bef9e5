package pathgw.fake;

import java.time.Duration;

/** Hears what clients met; each try ends with one of the last four. */
public interface ClientObserver {
  /** A try was written whole to a connection that its proxy took. */
  void asked(ClientAttempt ask, int proxy);

  /**
   * A client has read an answer.
   *
   * @param answer the answer's line, with the value behind it after a blank where there is one
   */
  void answered(ClientAttempt ask, int proxy, String answer);

  /** The client closed its connection before it had an answer. */
  void left(ClientAttempt ask, int proxy);

  /**
   * The connection ended without a whole answer.
   *
   * @param taken whether the proxy had read the command, as far as that can be told
   */
  void cutOff(ClientAttempt ask, int proxy, boolean taken);

  /** The client has waited long beyond the end of this try. */
  void neverAnswered(ClientAttempt ask, int proxy);

  /**
   * A client that sent what is no command has ended.
   *
   * @param what what it did
   * @param took how long until an error line or the end came; null where neither did A client has
   *     read an answer.
   * @param answer the first line that came
   */
  void rude(int proxy, String what, Duration took, String answer);
}
