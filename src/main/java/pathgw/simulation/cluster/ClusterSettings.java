package pathgw.simulation.cluster;

import java.time.Duration;

/**
 * Figures of the simulated deployment that both the fakes and the proxies' settings have to know.
 */
final class ClusterSettings {
  /** The share of its capacity that a cold node starts with. */
  static final double COLD_CAPACITY_SHARE = 0.3;

  /** How long a node warms up. */
  static final Duration WARM_UP_TIME = Duration.ofSeconds(4);

  /** A node or the origin fails after being overloaded for this long. */
  static final Duration OVERLOAD_WINDOW = Duration.ofSeconds(2);

  /** A node or the origin closes connections that are idle for this long. */
  static final Duration CONNECTION_IDLE_LIMIT = Duration.ofSeconds(3);

  static final Duration RESPONSE_SLACK = Duration.ofMillis(50);
  static final Duration DRAIN_GRACE = Duration.ofMillis(500);
  static final int MAX_ATTEMPTS = 4;
  static final int FAILURE_DOMAINS = 3;

  private ClusterSettings() {}
}
