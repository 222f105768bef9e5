package pathgw.fake.client;

/** The present behavior of the clients. The simulation changes the fields at any time. */
public final class ClientBehavior {
  /** The mean rate of new requests of all clients, in requests per second. */
  public double requestsPerSecond;

  /** The share of requests that are for the single hot key, 0 to 1. */
  public double hotKeyShare;

  /** The traffic of the first tenant as a multiple of that of each other tenant. */
  public double firstTenantWeight = 1;

  /**
   * The share of attempts that the client abandons, if no answer has arrived by then, at a random
   * time before the timeout; 0 to 1.
   */
  public double abandonedShare;

  /** The share of answers after which the client leaves its connection open but unused, 0 to 1. */
  public double keptOpenShare;

  /** The mean rate of clients that connect to send a malformed command, in clients per second. */
  public double malformedPerSecond;
}
