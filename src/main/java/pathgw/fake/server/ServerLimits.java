package pathgw.fake.server;

import java.time.Duration;

/**
 * What a fake server can take.
 *
 * @param slots how many requests it works on at a time
 * @param serviceTime the mean work of one request, while nothing slows the server
 * @param queueLength how many requests may wait for a slot
 * @param maxConnections how many connections it accepts
 * @param idleTimeout how long a connection may stand idle
 */
record ServerLimits(
    int slots, Duration serviceTime, int queueLength, int maxConnections, Duration idleTimeout) {
  private static final double NANOS_PER_SECOND = 1e9;

  /** Requests a second with all slots at work. */
  double requestsPerSecond() {
    return slots * NANOS_PER_SECOND / serviceTime.toNanos();
  }
}
