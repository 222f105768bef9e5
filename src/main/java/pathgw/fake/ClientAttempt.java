package pathgw.fake;

import java.time.Duration;

/**
 * One attempt of a client's request.
 *
 * @param id new with every attempt
 * @param request what the client wants, the same with every attempt
 * @param at when this attempt was written to its connection
 * @param patience how long the client waits for this attempt
 * @param tries how many attempts came before
 * @param firstOnConnection whether the connection carried nothing before
 */
public record ClientAttempt(
    String id,
    ClientRequest request,
    Duration at,
    Duration patience,
    int tries,
    boolean firstOnConnection) {
  /** The class of the request. */
  public FakeClients.RequestClass requestClass() {
    return request.requestClass();
  }

  /** The key that is read or written. */
  public String key() {
    return request.key();
  }

  /** When the client's wait for this attempt ends. */
  public Duration due() {
    return at.plus(patience);
  }
}
