package pathgw.fake.server;

import java.time.Duration;

/**
 * The capacity of a fake server.
 *
 * @param slots how many requests the server processes in parallel
 * @param serviceTime the mean service time of one request without slowdown or warm-up
 * @param queueLength how many requests may wait for a slot
 * @param maxConnections how many connections the server accepts
 * @param idleTimeout after how long an idle connection is closed
 */
record ServerLimits(
    int slots, Duration serviceTime, int queueLength, int maxConnections, Duration idleTimeout) {
  private static final double NANOS_PER_SECOND = 1e9;

  /** Returns the mean throughput with all slots busy, in requests per second. */
  double requestsPerSecond() {
    return slots * NANOS_PER_SECOND / serviceTime.toNanos();
  }
}
