package pathgw.upstream;

import io.vertx.core.Future;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import pathgw.codec.HttpOriginCodec;
import pathgw.codec.MetaCodec;
import pathgw.config.Address;
import pathgw.config.Config;
import pathgw.decision.EndpointState;
import pathgw.discovery.Endpoint;
import pathgw.discovery.EndpointListener;
import pathgw.transport.Connection;
import pathgw.transport.EventLoopTimers;

/** The ways to all nodes that the list has named. */
public final class UpstreamPools implements EndpointListener {
  private final EventLoopTimers timers;
  private final Function<Address, Future<Connection>> nodes;
  private final Function<Address, Future<Connection>> origins;
  private final ConnectionLimit sockets;
  private final Duration idleFor;
  private final int originKind;
  private final Map<Long, Entry> ways = new TreeMap<>();

  private record Entry(Endpoint endpoint, ConnectionPool link) {}

  /**
   * @param nodes opens a connection to a cache node
   * @param origins opens one to the origin
   * @param most connections open at a time
   */
  public UpstreamPools(
      Function<Address, Future<Connection>> nodes,
      Function<Address, Future<Connection>> origins,
      EventLoopTimers timers,
      Config config,
      int most) {
    this.timers = timers;
    this.nodes = nodes;
    this.origins = origins;
    // What a node closes for idleness just as it is written to ends as a cut: so this side is
    // first.
    idleFor = idleFor(config);
    originKind = config.settings().originKind();
    sockets = new ConnectionLimit(most);
  }

  static Duration idleFor(Config config) {
    return config.idleFor().multipliedBy(3).dividedBy(4);
  }

  @Override
  public void update(Endpoint endpoint) {
    long id = endpoint.id();
    if (endpoint.state() == EndpointState.GONE) {
      gone(id);
      return;
    }
    Entry way = ways.get(id);
    // Started anew it has none of the connections that are kept to it.
    if (way != null
        && way.endpoint.dial().equals(endpoint.dial())
        && way.endpoint.startedMs() == endpoint.startedMs()) {
      if (endpoint.state() == EndpointState.DRAINING) {
        way.link.drain();
      }
      return;
    }
    gone(id);
    boolean origin = endpoint.kind() == originKind && originKind >= 0;
    ways.put(
        id,
        new Entry(
            endpoint,
            new ConnectionPool(
                origin ? origins : nodes,
                origin ? () -> new HttpOriginCodec(endpoint.dial()) : MetaCodec::new,
                timers,
                sockets,
                endpoint.dial(),
                idleFor)));
  }

  void gone(long id) {
    Entry way = ways.remove(id);
    if (way != null) {
      way.link.retire();
    }
  }

  /** When each endpoint was started, in Unix milliseconds, by its id. */
  public Map<Long, Long> startTimes() {
    Map<Long, Long> startTimes = new TreeMap<>();
    ways.forEach((id, way) -> startTimes.put(id, way.endpoint.startedMs()));
    return startTimes;
  }

  public void closeIdle(long node) {
    Entry way = ways.get(node);
    if (way != null) {
      way.link.closeIdle();
    }
  }

  public void closeIdle() {
    ways.values().forEach(way -> way.link.closeIdle());
  }

  public int open() {
    return sockets.open();
  }

  /** Nothing is sent after. */
  public void end() {
    keepOnly(Set.of());
  }

  @Override
  public void keepOnly(Set<Long> ids) {
    ways.keySet().stream().filter(id -> !ids.contains(id)).toList().forEach(this::gone);
  }

  public void send(long node, Attempt attempt) {
    Entry way = ways.get(node);
    if (way == null) {
      attempt.end(AttemptEnd.NOT_TRIED);
    } else {
      way.link.send(attempt);
    }
  }
}
