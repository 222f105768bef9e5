package pathgw.fake.client;

import java.time.Duration;

/**
 * One attempt of a client's request.
 *
 * @param id new with every attempt
 * @param request what the client wants, the same with every attempt
 * @param sentAt when this attempt was written to its connection
 * @param timeout how long the client waits for this attempt
 * @param retries how many attempts came before
 * @param firstOnConnection whether the connection carried nothing before
 */
public record ClientAttempt(
    String id,
    ClientRequest request,
    Duration sentAt,
    Duration timeout,
    int retries,
    boolean firstOnConnection) {
  /** The class of the request. */
  public RequestClass requestClass() {
    return request.requestClass();
  }

  /** The key that is read or written. */
  public String key() {
    return request.key();
  }

  /** When the client's wait for this attempt ends. */
  public Duration deadline() {
    return sentAt.plus(timeout);
  }
}
