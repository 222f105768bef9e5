package pathgw.fake.client;

import java.time.Duration;

/**
 * One attempt of a client to have a request served.
 *
 * @param id unique for each attempt
 * @param request the request, which all its attempts share
 * @param sentAt when the attempt was written to its connection, since the start of the run
 * @param timeout how long the client waits for an answer to this attempt
 * @param retries the number of earlier attempts for the request
 * @param firstOnConnection whether no other attempt was sent on the connection before
 */
public record ClientAttempt(
    String id,
    ClientRequest request,
    Duration sentAt,
    Duration timeout,
    int retries,
    boolean firstOnConnection) {
  /** Returns the class of the request. */
  public RequestClass requestClass() {
    return request.requestClass();
  }

  /** Returns the key that is read or written. */
  public String key() {
    return request.key();
  }

  /** Returns when this attempt times out, since the start of the run. */
  public Duration deadline() {
    return sentAt.plus(timeout);
  }
}
