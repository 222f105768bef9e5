package pathgw.fake;

import java.util.List;

/**
 * Receives what truly happened at the fake servers and the fake discovery service, whatever the
 * proxies believe.
 */
public interface BackendObserver {
  /**
   * One arrival in the window in which a server was overloaded.
   *
   * @param atNanos since the start of the run
   * @param proxyName the proxy
   * @param id of the request
   */
  record Arrival(long atNanos, String proxyName, String id) {}

  /**
   * A server has taken a request on: it runs, or will.
   *
   * @param repeated it does not run, because its idempotency key is known
   */
  void requestAccepted(String server, Request request, boolean repeated);

  /** A server has rejected a request without running it. */
  void requestRejected(String server, Request request);

  /**
   * A read found nothing.
   *
   * @param cold whether the node is still warming up
   */
  void cacheMissed(String server, Request request, boolean cold);

  /**
   * A server has created a reply, which may be served for this request and no other.
   *
   * @param reply a value or a receipt
   */
  void replyCreated(String server, Request request, String reply);

  /**
   * A node that warms up has received a request.
   *
   * @param utilization recent arrivals as a share of those at which the node crashes
   */
  void coldNodeLoad(double utilization);

  /** A node has crashed because it was overloaded while it warmed up. */
  void coldNodeCrashed(String server, List<Arrival> arrivals);

  /** The origin has gone down because it was overloaded. */
  void originWentDown(List<Arrival> arrivals);

  /**
   * An endpoint of the list was sent to a proxy.
   *
   * @param host empty at the end of a complete list: the hosts that it did not name are gone
   * @param health {@code ready}, {@code draining} or {@code gone}
   * @param version of the list
   */
  void endpointNotified(String proxy, String host, String health, long version);
}
