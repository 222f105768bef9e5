package pathgw.fake.discovery;

/**
 * One entry of the endpoint list.
 *
 * @param host the name of the endpoint
 * @param address host and port to connect to
 * @param zone the zone of the endpoint
 * @param hostType the type of its machine
 * @param cell the number of the failure domain that the endpoint is in
 * @param health "ready", "draining" or "gone"
 * @param startedAtMs when it last started, in milliseconds of Unix time; 0 if it started so long
 *     ago that it has warmed up
 */
public record EndpointEntry(
    String host,
    String address,
    String zone,
    String hostType,
    int cell,
    String health,
    long startedAtMs) {
  /** The health of an endpoint that is removed from the list. */
  static final String GONE = "gone";

  String json() {
    return "{\"host\":\""
        + host
        + "\",\"dial\":\""
        + address
        + "\",\"site\":\""
        + zone
        + "\",\"class\":\""
        + hostType
        + "\",\"block\":"
        + cell
        + ",\"health\":\""
        + health
        + "\",\"share\":1.0,\"born_ms\":"
        + startedAtMs
        + "}";
  }
}
