package pathgw.decision;

/** The state of a node in the endpoint list. */
public enum EndpointState {
  /** The node has been removed. */
  GONE,
  /** The node accepts requests. */
  READY,
  /** The node completes the requests that it has and must not get new ones. */
  DRAINING
}
