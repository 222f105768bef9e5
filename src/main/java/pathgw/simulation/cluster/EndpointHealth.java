package pathgw.simulation.cluster;

import java.util.Locale;

/** The states of an endpoint in the endpoint list. */
public enum EndpointHealth {
  /** The endpoint accepts new requests. */
  READY,
  /** The endpoint completes its current requests; it must not get new ones. */
  DRAINING,
  /** The endpoint has left. */
  GONE;

  /** Returns the word for this state in the endpoint list. */
  String word() {
    return name().toLowerCase(Locale.ROOT);
  }
}
