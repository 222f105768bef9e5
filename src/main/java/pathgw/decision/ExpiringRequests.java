package pathgw.decision;

import static pathgw.algorithm.Durations.before;
import static pathgw.algorithm.Durations.earlier;

import java.time.Duration;
import java.util.Comparator;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * The requests that have not ended, ordered by the time at which they may be ended at the earliest.
 * When one of them really ends depends on the pause that is expected, which changes. Finding one
 * that is due takes a time that does not grow with the number of open requests.
 */
final class ExpiringRequests {
  private static final Duration MAX_SCAN_INTERVAL = Duration.ofSeconds(1);

  private final TreeSet<RequestState> requests =
      new TreeSet<>(
          Comparator.<RequestState, Duration>comparing(request -> request.earliestEndAt)
              .thenComparing(request -> request.id));

  /** No request ends before this time, unless a longer pause is expected. */
  private Duration noneEndsBefore = Duration.ZERO;

  /** The pause that was expected when {@link #noneEndsBefore} was determined. */
  private Duration pauseExpected = Duration.ZERO;

  /** Adds a request, whose times have been set. */
  void add(RequestState request) {
    requests.add(request);
    noneEndsBefore = earlier(noneEndsBefore, request.earliestEndAt);
  }

  void remove(RequestState request) {
    requests.remove(request);
  }

  /**
   * Returns a request whose time is up, or null if there is none.
   *
   * @param endAt tells when a request ends, if it has no response until then
   * @param expectedPause the pause of this process that is expected now
   */
  RequestState firstExpired(
      Duration now, Duration expectedPause, Function<RequestState, Duration> endAt) {
    if (before(now, noneEndsBefore) && !before(pauseExpected, expectedPause)) {
      return null;
    }
    Duration nextEnd = now.plus(MAX_SCAN_INTERVAL);
    for (RequestState request : requests) {
      if (before(now, request.earliestEndAt)) {
        nextEnd = earlier(nextEnd, request.earliestEndAt);
        break;
      }
      Duration end = endAt.apply(request);
      if (!before(now, end)) {
        return request;
      }
      nextEnd = earlier(nextEnd, end);
    }
    noneEndsBefore = nextEnd;
    pauseExpected = expectedPause;
    return null;
  }
}
