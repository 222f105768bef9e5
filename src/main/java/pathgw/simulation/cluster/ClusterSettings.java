package pathgw.simulation.cluster;

import java.time.Duration;

/** Settings of the simulated deployment that both the fakes and the proxies' configurations use. */
final class ClusterSettings {
  /** The share of its full capacity that a cold node starts with. */
  static final double COLD_CAPACITY_SHARE = 0.3;

  /** How long a node is warming up after its start. */
  static final Duration WARM_UP_TIME = Duration.ofSeconds(4);

  /** A node or the origin fails if it is overloaded for this long. */
  static final Duration OVERLOAD_WINDOW = Duration.ofSeconds(2);

  /** A node or the origin closes a connection that has been idle for this long. */
  static final Duration CONNECTION_IDLE_LIMIT = Duration.ofSeconds(3);

  /** How long after its deadline a request may still get a response. */
  static final Duration RESPONSE_SLACK = Duration.ofMillis(50);

  /** How long after the notification a draining node may still get new requests. */
  static final Duration DRAIN_GRACE = Duration.ofMillis(500);

  /** The most attempts of one request. */
  static final int MAX_ATTEMPTS = 4;

  /** The number of failure domains over which the nodes are spread. */
  static final int FAILURE_DOMAINS = 3;

  private ClusterSettings() {}
}
