package pathgw.fake;

import java.util.List;

/** Hears what truly happened at the fakes, whatever the proxies believe. */
public interface BackendObserver {
  /** One arrival of work, for the count of who pushed a node over. */
  record Arrival(long atNanos, String from, String id) {}

  /**
   * A request was taken on and runs, or will.
   *
   * @param again it is a repeat that the memory of marked requests dropped
   */
  void ran(String place, Request request, boolean again);

  /** A request was refused unseen. */
  void turnedAway(String place, Request request);

  /**
   * A read found nothing.
   *
   * @param cold the node had not warmed up
   */
  void missed(String place, Request request, boolean cold);

  /**
   * An answer that may be served for this request and no other.
   *
   * @param answer a value or a receipt
   */
  void made(String place, Request request, String answer);

  /**
   * A cold node took a request.
   *
   * @param part of what pushes it over has come by now
   */
  void pressed(double part);

  /** A cold node fell over under what arrived within the window. */
  void pushedOver(String place, List<Arrival> work);

  /** The origin went down under what arrived within the window. */
  void collapsed(List<Arrival> work);

  /**
   * A line of the endpoint list was written to a proxy.
   *
   * @param host empty after a whole list: whom it did not name is gone
   * @param health {@code ready}, {@code draining} or {@code gone}
   */
  void told(String proxy, String host, String health, long version);
}
