package pathgw.simulation.network;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import pathgw.config.Address;
import pathgw.transport.AcceptHandler;
import pathgw.transport.Connection;
import pathgw.transport.Transport;

/** The clock, timers and network of one simulated proxy process. */
public final class SimulatedTransport implements Transport {
  /** The time of day at which each run begins, in milliseconds since the Unix epoch. */
  public static final long EPOCH_MS = 1_800_000_000_000L;

  private static final int NANOS_PER_MILLI = 1_000_000;

  private final EventQueue events;
  private final VirtualNetwork network;
  private final VirtualProcess process;
  private final String host;
  private final Address broadcastAddress;
  private final Consumer<VirtualConnection> connectionObserver;

  /**
   * Creates the transport of a process.
   *
   * @param host the proxy's own host, as remote ends see it
   * @param broadcastAddress the target address of datagrams that go to all other proxies
   * @param connectionObserver receives each connection that this proxy opens
   */
  public SimulatedTransport(
      EventQueue events,
      VirtualNetwork network,
      VirtualProcess process,
      String host,
      Address broadcastAddress,
      Consumer<VirtualConnection> connectionObserver) {
    this.events = events;
    this.network = network;
    this.process = process;
    this.host = host;
    this.broadcastAddress = broadcastAddress;
    this.connectionObserver = connectionObserver;
  }

  /** Returns the time of day in a run, in milliseconds since the Unix epoch. */
  public static long unixMillis(EventQueue events) {
    return EPOCH_MS + events.now() / NANOS_PER_MILLI;
  }

  @Override
  public long monotonicNanos() {
    return events.now();
  }

  @Override
  public long unixMillis() {
    return unixMillis(events);
  }

  @Override
  public Runnable runAfter(Duration delay, Runnable action) {
    return events.scheduleInNanos(delay.toNanos(), process, action)::cancel;
  }

  @Override
  public Future<Connection> dial(Address target, Duration timeout) {
    return network
        .connect(process, host, target, timeout.toNanos())
        .map(
            connection -> {
              connectionObserver.accept(connection);
              return connection;
            });
  }

  @Override
  public Future<Integer> listen(Address address, AcceptHandler handler) {
    network.listen(
        address,
        process,
        connection -> {
          network.runAfterDueEvents(process, () -> handler.accepted(connection));
          return true;
        });
    return Future.succeededFuture(address.port());
  }

  @Override
  public BiConsumer<Buffer, Address> bindDatagramSocket(
      Address address, BiConsumer<Buffer, Address> handler) {
    network.receiveDatagrams(address, process, handler);
    return (bytes, target) -> network.sendDatagram(address, bytes, target, broadcastAddress);
  }
}
