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
 * The discovery service: serves the endpoint list over HTTP to all proxies, complete or as a watch
 * that sends changes. On command it answers late, rejects calls, goes down or leaves watches
 * silent.
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

  /** Creates a service with an empty list. */
  public FakeDiscovery(Clock clock, Random random, BackendObserver observer) {
    this.clock = clock;
    this.random = random;
    this.observer = observer;
    callQueue = new CallQueue(clock);
  }

  /** Changes the list and sends the change to all watches. */
  public void update(EndpointEntry entry) {
    history.apply(entry);
    // A delayed change is sent as of now: a complete list may have overtaken it by then.
    long version = history.version();
    for (DiscoveryConnection connection : List.copyOf(connections)) {
      if (connection.watching()) {
        clock.schedule(drawDelay(), () -> connection.sendChanges(version));
      }
    }
  }

  /** Whether the list has a host with this health; a host that it does not name is gone. */
  public boolean hasHealth(String host, String health) {
    return history.health(host).equals(health);
  }

  /** The version of the list. */
  public long version() {
    return history.version();
  }

  /** The endpoints of the list in their order. */
  public List<EndpointEntry> entries() {
    return List.copyOf(history.entries());
  }

  /** Sets the longest delay of an answer or a change. */
  public void setMaxDelay(Duration maxDelay) {
    this.maxDelay = maxDelay;
  }

  /** Draws the delay of an answer or a change. */
  Duration drawDelay() {
    return Duration.ofNanos(1 + (long) (maxDelay.toNanos() * random.nextDouble()));
  }

  /** Sets the share of calls that are rejected or reset, 0 to 1. */
  public void setRefusalProbability(double refusalProbability) {
    this.refusalProbability = refusalProbability;
  }

  /** Draws whether a call is refused; draws nothing while none is. */
  boolean drawRefusal() {
    return refusalProbability > 0 && random.nextDouble() < refusalProbability;
  }

  /**
   * Limits the rate at which calls are processed.
   *
   * @param callsPerSecond zero for no limit
   */
  public void setCallsPerSecond(double callsPerSecond) {
    callQueue.setRate(callsPerSecond);
  }

  /** Goes down, which ends all connections, or comes up again. */
  public void setDown(boolean down) {
    this.down = down;
    if (down) {
      closeConnections();
    }
  }

  /** Leaves a share of the open watches open but silent; new ones are served. */
  public void silenceWatches(double share) {
    for (DiscoveryConnection connection : connections) {
      if (connection.isActiveWatch() && random.nextDouble() < share) {
        connection.silence();
        silentSince.put(connection.proxyName(), clock.now());
      }
    }
  }

  /**
   * Since when a proxy's watch has been silent without an answer to any later call of the proxy;
   * null where it is not.
   */
  public Duration silentSince(String proxy) {
    return silentSince.get(proxy);
  }

  /** A call of this proxy is answered. */
  void callAnswered(String proxy) {
    silentSince.remove(proxy);
  }

  /** Closes all connections. */
  public void closeConnections() {
    List.copyOf(connections).forEach(DiscoveryConnection::close);
  }

  /** The complete list as JSON. */
  public String completeListJson() {
    return history.completeJson();
  }

  /**
   * Takes a connection.
   *
   * @param proxyName the proxy that connects
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
