package pathgw.fake.client;

/** What the clients do at present; may be changed at any time. */
public final class ClientBehavior {
  /** Requests a second. */
  public double requestsPerSecond;

  /** The share of requests for one single key, 0 to 1. */
  public double hotKeyShare;

  /** The first tenant's traffic, as a multiple of any other tenant's. */
  public double firstTenantWeight = 1;

  /** The share of attempts that the client abandons before it has an answer, 0 to 1. */
  public double abandonedShare;

  /** The share of answers after which the client keeps its connection open, unused, 0 to 1. */
  public double keptOpenShare;

  /** Clients a second that send a malformed command. */
  public double malformedPerSecond;
}
