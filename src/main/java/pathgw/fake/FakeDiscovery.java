package pathgw.fake;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * The discovery service: serves the endpoint list over HTTP to all proxies, complete or as a watch
 * that sends changes. On command it answers late, rejects calls, goes down or leaves watches
 * silent.
 */
public final class FakeDiscovery {
  /** The health of an endpoint that is removed from the list. */
  static final String GONE = "gone";

  /**
   * One endpoint of the list.
   *
   * @param host its name
   * @param dial its address, as host and port
   * @param site its zone
   * @param kind its kind of machine
   * @param block its cell
   * @param health {@code ready}, {@code draining} or {@code gone}
   * @param bornMs when it last started, in milliseconds of Unix time; 0 for long ago
   */
  public record Entry(
      String host, String dial, String site, String kind, int block, String health, long bornMs) {
    String json() {
      return "{\"host\":\""
          + host
          + "\",\"dial\":\""
          + dial
          + "\",\"site\":\""
          + site
          + "\",\"class\":\""
          + kind
          + "\",\"block\":"
          + block
          + ",\"health\":\""
          + health
          + "\",\"share\":1.0,\"born_ms\":"
          + bornMs
          + "}";
    }
  }

  final Clock clock;
  final Random random;
  final BackendObserver observer;
  final EndpointHistory history = new EndpointHistory();
  final CallQueue calls;
  private final Set<DiscoveryConnection> connections = new LinkedHashSet<>();
  private final Map<String, Duration> silentSince = new LinkedHashMap<>();
  private boolean down;
  private double refusedShare;
  private Duration maxDelay = Duration.ZERO;

  /** Creates a service with an empty list. */
  public FakeDiscovery(Clock clock, Random random, BackendObserver observer) {
    this.clock = clock;
    this.random = random;
    this.observer = observer;
    calls = new CallQueue(clock);
  }

  /** Changes the list and sends the change to all watches. */
  public void change(Entry entry) {
    history.apply(entry);
    // A delayed change is sent as of now: a complete list may have overtaken it by then.
    long version = history.version();
    for (DiscoveryConnection connection : List.copyOf(connections)) {
      if (connection.watching()) {
        clock.in(drawDelay(), () -> connection.sendChanges(version));
      }
    }
  }

  /** Whether the list has a host in this state; a host that it does not name is gone. */
  public boolean says(String host, String health) {
    return history.health(host).equals(health);
  }

  /** The version of the list. */
  public long seq() {
    return history.version();
  }

  /** The endpoints of the list in their order. */
  public List<Entry> entries() {
    return List.copyOf(history.entries());
  }

  /** Sets the longest delay of an answer or a change. */
  public void late(Duration late) {
    maxDelay = late;
  }

  /** Draws the delay of an answer or a change. */
  Duration drawDelay() {
    return Duration.ofNanos(1 + (long) (maxDelay.toNanos() * random.nextDouble()));
  }

  /** Sets the share of calls that are rejected or reset, 0 to 1. */
  public void refuses(double share) {
    refusedShare = share;
  }

  /** Draws whether a call is refused; draws nothing while none is. */
  boolean drawRefusal() {
    return refusedShare > 0 && random.nextDouble() < refusedShare;
  }

  /**
   * Limits the rate at which calls are processed.
   *
   * @param callsPerSecond zero for no limit
   */
  public void takes(double callsPerSecond) {
    calls.limit(callsPerSecond);
  }

  /** Goes down, which ends all connections, or comes up again. */
  public void down(boolean down) {
    this.down = down;
    if (down) {
      endWatches();
    }
  }

  /** Leaves a share of the open watches open but silent; new ones are served. */
  public void silenceWatches(double share) {
    for (DiscoveryConnection connection : connections) {
      if (connection.sendsChanges() && random.nextDouble() < share) {
        connection.silence();
        silentSince.put(connection.from(), clock.now());
      }
    }
  }

  /**
   * Since when a proxy's watch has been silent without an answer to any later call of the proxy;
   * null where it is not.
   */
  public Duration deafSince(String proxy) {
    return silentSince.get(proxy);
  }

  /** A call of this proxy is answered. */
  void heard(String proxy) {
    silentSince.remove(proxy);
  }

  /** Closes all connections. */
  public void endWatches() {
    List.copyOf(connections).forEach(DiscoveryConnection::close);
  }

  /** The complete list as JSON. */
  public String whole() {
    return history.completeJson();
  }

  /**
   * Takes a connection.
   *
   * @param from the proxy that connects
   * @return the handler of the connection, or null while the service is down
   */
  public ConnectionHandler accept(String from, ConnectionSide side) {
    if (down) {
      return null;
    }
    DiscoveryConnection connection = new DiscoveryConnection(this, from, side);
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
