package pathgw.standin;

import java.util.List;

/** Hears what truly happened at the stand-ins, whatever the proxies believe. */
public interface Witness {
  /** One arrival of work, for the count of who pushed a node over. */
  record Arrival(long atNanos, String from, String id) {}

  /**
   * An access was taken on and runs, or will.
   *
   * @param again it is a repeat that the memory of marked accesses dropped
   */
  void ran(String place, Request request, boolean again);

  /** An access was refused unseen. */
  void turnedAway(String place, Request request);

  /**
   * A read found nothing.
   *
   * @param cold the node had not warmed up
   */
  void missed(String place, Request request, boolean cold);

  /**
   * An answer that may be served for this access and no other.
   *
   * @param answer a value or a receipt
   */
  void made(String place, Request request, String answer);

  /**
   * A cold node took an access.
   *
   * @param part of what pushes it over has come by now
   */
  void pressed(double part);

  /** A cold node fell over under what arrived within the window. */
  void pushedOver(String place, List<Arrival> work);

  /** The origin went down under what arrived within the window. */
  void collapsed(List<Arrival> work);

  /**
   * A line of the node list was written to a proxy.
   *
   * @param host empty after a whole list: whom it did not name is gone
   * @param health {@code ready}, {@code draining} or {@code gone}
   */
  void told(String proxy, String host, String health, long version);
}
