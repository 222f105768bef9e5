package pathgw.fake;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;

/** The work that arrived within a window, against what the place bears. */
final class OverloadWindow {
  private final Duration window;
  private final double roots;
  private final double more;
  private final ArrayDeque<BackendObserver.Arrival> work = new ArrayDeque<>();

  /**
   * @param roots of what is borne, and {@code more}: what is put down to chance
   */
  OverloadWindow(Duration window, double roots, double more) {
    this.window = window;
    this.roots = roots;
    this.more = more;
  }

  void arrived(Duration now, String from, String id) {
    long since = now.minus(window).toNanos();
    while (!work.isEmpty() && work.peek().atNanos() < since) {
      work.poll();
    }
    work.add(new BackendObserver.Arrival(now.toNanos(), from, id));
  }

  /** Whether it is over what is borne in the window, with some slack for chance. */
  boolean over(double bornePerSecond) {
    return part(bornePerSecond) > 1;
  }

  /** How much of what is borne has come, with the same slack; over 1 it is too much. */
  double part(double bornePerSecond) {
    double borne = bornePerSecond * window.toNanos() / 1e9;
    return work.size() / (borne + roots * Math.sqrt(borne) + more);
  }

  List<BackendObserver.Arrival> work() {
    return List.copyOf(work);
  }
}
