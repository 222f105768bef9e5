package pathgw.decision;

/** What the endpoint list says of a node. */
public enum EndpointState {
  /** It has been removed. */
  GONE,
  /** It takes requests. */
  READY,
  /** It finishes what it has and takes nothing new. */
  DRAINING
}
