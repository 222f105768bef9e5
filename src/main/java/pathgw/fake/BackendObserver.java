package pathgw.fake;

import java.util.List;

/**
 * Receives the events at the fake servers and the fake discovery service. They are the actual state
 * of the backend, with which the invariant checker compares the behavior of the proxies.
 */
public interface BackendObserver {
  /**
   * One request that arrived in the window in which a server was overloaded.
   *
   * @param atNanos the time of arrival, in nanoseconds since the start of the run
   * @param proxyName the proxy that sent the request
   * @param id the id of the request
   */
  record Arrival(long atNanos, String proxyName, String id) {}

  /**
   * Called when a server has accepted a request, which it executes as soon as a worker is free.
   *
   * @param server the name of the cache node or origin, as in all methods
   * @param repeated whether the request is not executed, because its idempotency key is already
   *     stored
   */
  void requestAccepted(String server, Request request, boolean repeated);

  /** Called when a server has rejected a request without executing it. */
  void requestRejected(String server, Request request);

  /**
   * Called when a cache node has no value for the key of a read.
   *
   * @param cold whether the node is still warming up
   */
  void cacheMissed(String server, Request request, boolean cold);

  /**
   * Called when a server has created a reply, which is valid for this request only.
   *
   * @param reply the value of a read or the receipt of a write
   */
  void replyCreated(String server, Request request, String reply);

  /**
   * Called when a cache node that is warming up has received a request.
   *
   * @param utilization the arrivals in the overload window divided by the number above which the
   *     node crashes
   */
  void coldNodeLoad(double utilization);

  /**
   * Called when a cache node crashes because it was overloaded while it was warming up.
   *
   * @param arrivals the requests in the overload window, oldest first
   */
  void coldNodeCrashed(String server, List<Arrival> arrivals);

  /**
   * Called when the origin goes down because it was overloaded.
   *
   * @param arrivals the reads in the overload window, oldest first
   */
  void originWentDown(List<Arrival> arrivals);

  /**
   * Called when an entry of the endpoint list was sent to a proxy.
   *
   * @param host the host of the entry; empty at the end of a complete list, which means that all
   *     hosts not sent with it are gone
   * @param health {@code ready}, {@code draining} or {@code gone}
   * @param version the version of the list that the proxy has received
   */
  void endpointNotified(String proxy, String host, String health, long version);
}
