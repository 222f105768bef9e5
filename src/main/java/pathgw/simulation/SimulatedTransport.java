package pathgw.simulation;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import pathgw.config.Address;
import pathgw.transport.Connection;
import pathgw.transport.Transport;

/** The world as one process of a proxy has it. */
final class SimulatedTransport implements Transport {
  /** Times of day in a run begin here. */
  static final long EPOCH_MS = 1_800_000_000_000L;

  private final EventQueue events;
  private final VirtualNetwork net;
  private final VirtualProcess process;
  private final String host;
  private final Address peersAll;
  private final Function<Address, Consumer<VirtualConnection>> taps;

  /**
   * @param taps what is done with each connection that this proxy opens, by where it leads
   */
  SimulatedTransport(
      EventQueue events,
      VirtualNetwork net,
      VirtualProcess process,
      String host,
      Address peersAll,
      Function<Address, Consumer<VirtualConnection>> taps) {
    this.events = events;
    this.net = net;
    this.process = process;
    this.host = host;
    this.peersAll = peersAll;
    this.taps = taps;
  }

  @Override
  public long nanos() {
    return events.now();
  }

  @Override
  public long unixMillis() {
    return EPOCH_MS + events.now() / 1_000_000;
  }

  @Override
  public Runnable after(Duration span, Runnable what) {
    return events.in(span.toNanos(), process, what)::cancel;
  }

  @Override
  public Future<Connection> dial(Address to, Duration within) {
    return net.dial(process, host, to, within.toNanos())
        .map(
            connection -> {
              taps.apply(to).accept(connection);
              return connection;
            });
  }

  @Override
  public Future<Integer> listen(Address at, Consumer<Connection> arrived) {
    net.listen(
        at,
        process,
        connection -> {
          net.soon(process, () -> arrived.accept(connection));
          return true;
        });
    return Future.succeededFuture(at.port());
  }

  @Override
  public BiConsumer<Buffer, Address> datagrams(Address at, BiConsumer<Buffer, Address> heard) {
    net.hear(at, process, heard);
    return (bytes, to) -> net.send(at, bytes, to, peersAll);
  }
}
