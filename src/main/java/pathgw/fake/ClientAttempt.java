package pathgw.fake;

import java.time.Duration;

/**
 * One try of a client.
 *
 * @param id new with every try
 * @param mark what an idempotency-keyed request is known by, the same with every try; empty
 *     otherwise
 * @param first when the client first asked
 * @param at when this try was written whole
 * @param patience how long the client waits for this try
 */
public record ClientAttempt(
    String id,
    FakeClients.RequestClass requestClass,
    int tenant,
    String key,
    String mark,
    Duration first,
    Duration at,
    Duration patience,
    int tries,
    boolean firstOnConnection) {
  public Duration due() {
    return at.plus(patience);
  }
}
