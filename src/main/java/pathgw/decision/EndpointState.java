package pathgw.decision;

/** What the endpoint list says of a cache node. */
public enum EndpointState {
  GONE,
  READY,
  DRAINING
}
