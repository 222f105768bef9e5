package pathgw.fake.discovery;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import pathgw.fake.BackendObserver;
import pathgw.fake.Clock;
import pathgw.fake.ConnectionHandler;
import pathgw.fake.ConnectionSide;

/**
 * A fake discovery service. It serves the endpoint list to all proxies over HTTP, as a complete
 * list or as a watch that sends changes. The simulation can make it answer late, refuse calls,
 * limit its call rate, go down or stop sending on open watches.
 */
public final class FakeDiscovery {
  final Clock clock;
  final Random random;
  final BackendObserver observer;
  final EndpointHistory history = new EndpointHistory();
  final CallQueue callQueue;
  private final Set<DiscoveryConnection> connections = new LinkedHashSet<>();
  private final Map<String, Duration> silentSince = new LinkedHashMap<>();
  private boolean down;
  private double refusalProbability;
  private Duration maxDelay = Duration.ZERO;

  /** Creates a service with an empty endpoint list. */
  public FakeDiscovery(Clock clock, Random random, BackendObserver observer) {
    this.clock = clock;
    this.random = random;
    this.observer = observer;
    callQueue = new CallQueue(clock);
  }

  /** Changes one entry of the list and sends the change to all watches. */
  public void update(EndpointEntry entry) {
    history.apply(entry);
    // After the delay a watch receives changes up to this version only, or none if a complete list
    // sent in between already contains them.
    long version = history.version();
    for (DiscoveryConnection connection : List.copyOf(connections)) {
      if (connection.watching()) {
        clock.schedule(drawDelay(), () -> connection.sendChanges(version));
      }
    }
  }

  /** Returns whether a host has a health; a host that isn't in the list is {@code gone}. */
  public boolean hasHealth(String host, String health) {
    return history.health(host).equals(health);
  }

  /** Returns the version of the list. */
  public long version() {
    return history.version();
  }

  /** Returns the entries of the list in their order. */
  public List<EndpointEntry> entries() {
    return List.copyOf(history.entries());
  }

  /** Sets the maximum delay of an answer or of a change that is sent on a watch. */
  public void setMaxDelay(Duration maxDelay) {
    this.maxDelay = maxDelay;
  }

  /** Draws the delay of an answer or of a change that is sent on a watch. */
  Duration drawDelay() {
    return Duration.ofNanos(1 + (long) (maxDelay.toNanos() * random.nextDouble()));
  }

  /** Sets the probability that a call is rejected or its connection reset, 0 to 1. */
  public void setRefusalProbability(double refusalProbability) {
    this.refusalProbability = refusalProbability;
  }

  /** Draws whether a call is refused; draws no random number if the probability is zero. */
  boolean drawRefusal() {
    return refusalProbability > 0 && random.nextDouble() < refusalProbability;
  }

  /**
   * Limits the rate at which calls are processed.
   *
   * @param callsPerSecond the rate; zero for no limit
   */
  public void setCallsPerSecond(double callsPerSecond) {
    callQueue.setRate(callsPerSecond);
  }

  /** Takes the service down, which closes all connections, or brings it up again. */
  public void setDown(boolean down) {
    this.down = down;
    if (down) {
      closeConnections();
    }
  }

  /**
   * Stops sending on a random selection of the open watches but leaves them open. New watches are
   * served.
   *
   * @param share the probability for each watch, 0 to 1
   */
  public void silenceWatches(double share) {
    for (DiscoveryConnection connection : connections) {
      if (connection.isActiveWatch() && random.nextDouble() < share) {
        connection.silence();
        silentSince.put(connection.proxyName(), clock.now());
      }
    }
  }

  /**
   * Returns when a watch of a proxy was silenced, since the start of the run; null if none was, or
   * if the service has answered a later call of the proxy.
   */
  public Duration silentSince(String proxy) {
    return silentSince.get(proxy);
  }

  /** Records that a call of a proxy is answered. */
  void callAnswered(String proxy) {
    silentSince.remove(proxy);
  }

  /** Closes all connections. */
  public void closeConnections() {
    List.copyOf(connections).forEach(DiscoveryConnection::close);
  }

  /** Returns the complete list as JSON. */
  public String completeListJson() {
    return history.completeJson();
  }

  /**
   * Accepts a connection.
   *
   * @param proxyName the proxy that connects
   * @param side the service's side of the connection
   * @return the handler of the connection, or null while the service is down
   */
  public ConnectionHandler accept(String proxyName, ConnectionSide side) {
    if (down) {
      return null;
    }
    DiscoveryConnection connection = new DiscoveryConnection(this, proxyName, side);
    connections.add(connection);
    return connection;
  }

  boolean isOpen(DiscoveryConnection connection) {
    return connections.contains(connection);
  }

  void ended(DiscoveryConnection connection) {
    connections.remove(connection);
  }
}
