package pathgw.fake.server;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import pathgw.fake.BackendObserver;

/**
 * The arrivals of a sliding window, compared with a limit. The limit is raised by some slack, so
 * that chance alone does not exceed it: a multiple of the square root of the permitted arrivals and
 * a constant.
 */
final class OverloadWindow {
  private static final double NANOS_PER_SECOND = 1e9;

  private final Duration window;
  private final double slackSquareRoots;
  private final double slackArrivals;
  private final ArrayDeque<BackendObserver.Arrival> arrivals = new ArrayDeque<>();

  /**
   * Creates an empty window.
   *
   * @param slackSquareRoots slack in square roots of the permitted arrivals
   * @param slackArrivals slack in arrivals
   */
  OverloadWindow(Duration window, double slackSquareRoots, double slackArrivals) {
    this.window = window;
    this.slackSquareRoots = slackSquareRoots;
    this.slackArrivals = slackArrivals;
  }

  /** Adds an arrival and removes those that have left the window. */
  void add(Duration now, String proxyName, String requestId) {
    long windowStart = now.minus(window).toNanos();
    while (!arrivals.isEmpty() && arrivals.peek().atNanos() < windowStart) {
      arrivals.poll();
    }
    arrivals.add(new BackendObserver.Arrival(now.toNanos(), proxyName, requestId));
  }

  /** Whether more has arrived than a limit permits, slack included. */
  boolean exceeds(double limitPerSecond) {
    return utilization(limitPerSecond) > 1;
  }

  /** The arrivals as a share of what a limit permits, slack included. */
  double utilization(double limitPerSecond) {
    double permitted = limitPerSecond * window.toNanos() / NANOS_PER_SECOND;
    return arrivals.size() / (permitted + slackSquareRoots * Math.sqrt(permitted) + slackArrivals);
  }

  /** The arrivals in the window, in their order. */
  List<BackendObserver.Arrival> arrivals() {
    return List.copyOf(arrivals);
  }
}
