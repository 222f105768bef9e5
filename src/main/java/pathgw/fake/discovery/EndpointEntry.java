package pathgw.fake.discovery;

/**
 * One endpoint of the list.
 *
 * @param host its name
 * @param address its address, as host and port
 * @param zone its zone
 * @param hostType its kind of machine
 * @param cell its cell within the zone
 * @param health "ready", "draining" or "gone"
 * @param startedAtMs when it last started, in milliseconds of Unix time; 0 for long ago
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
