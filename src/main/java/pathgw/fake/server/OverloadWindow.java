package pathgw.fake.server;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import pathgw.fake.BackendObserver;

/**
 * Compares the arrivals in a sliding window with a rate limit. The permitted number of arrivals is
 * raised by a multiple of its square root and by a constant, so that random fluctuation of the
 * arrivals alone doesn't exceed the limit.
 */
final class OverloadWindow {
  private static final double NANOS_PER_SECOND = 1e9;

  private final Duration window;
  private final double slackSquareRoots;
  private final double slackArrivals;
  private final ArrayDeque<BackendObserver.Arrival> arrivals = new ArrayDeque<>();

  /**
   * Creates a window without arrivals.
   *
   * @param window the length of the window
   * @param slackSquareRoots the slack as a multiple of the square root of the permitted arrivals
   * @param slackArrivals the constant slack, in arrivals
   */
  OverloadWindow(Duration window, double slackSquareRoots, double slackArrivals) {
    this.window = window;
    this.slackSquareRoots = slackSquareRoots;
    this.slackArrivals = slackArrivals;
  }

  /**
   * Adds an arrival and removes those that have left the window.
   *
   * @param now time since the start of the run
   * @param proxyName the proxy that sent the request
   */
  void add(Duration now, String proxyName, String requestId) {
    long windowStart = now.minus(window).toNanos();
    while (!arrivals.isEmpty() && arrivals.peek().atNanos() < windowStart) {
      arrivals.poll();
    }
    arrivals.add(new BackendObserver.Arrival(now.toNanos(), proxyName, requestId));
  }

  /** Returns whether the arrivals exceed the number that a limit and the slack permit. */
  boolean exceeds(double limitPerSecond) {
    return utilization(limitPerSecond) > 1;
  }

  /** Returns the arrivals divided by the number that a limit and the slack permit. */
  double utilization(double limitPerSecond) {
    double permitted = limitPerSecond * window.toNanos() / NANOS_PER_SECOND;
    return arrivals.size() / (permitted + slackSquareRoots * Math.sqrt(permitted) + slackArrivals);
  }

  /** Returns the arrivals in the window, oldest first. */
  List<BackendObserver.Arrival> arrivals() {
    return List.copyOf(arrivals);
  }
}
