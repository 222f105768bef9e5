package pathgw.simulation.cluster;

import java.util.Locale;

/** The states of an endpoint as discovery lists them. */
public enum EndpointHealth {
  /** It takes new requests. */
  READY,
  /** It finishes what it has; nothing new may be sent to it. */
  DRAINING,
  /** It has left. */
  GONE;

  /** The word of the endpoint list. */
  String word() {
    return name().toLowerCase(Locale.ROOT);
  }
}
