package pathgw.simulation;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import pathgw.config.Address;
import pathgw.net.Outside;
import pathgw.net.Pipe;
import pathgw.net.Watcher;

/** The world as one process of a proxy has it. */
final class ProxyOutside implements Outside {
  /** Times of day in a run begin here. */
  static final long EPOCH_MS = 1_800_000_000_000L;

  private final Events events;
  private final VirtualNet net;
  private final VirtualProcess process;
  private final String host;
  private final Address peersAll;
  private final Watcher watcher;
  private final Function<Address, Consumer<VirtualPipe>> taps;

  /**
   * @param taps what is done with each connection that this proxy opens, by where it leads
   */
  ProxyOutside(
      Events events,
      VirtualNet net,
      VirtualProcess process,
      String host,
      Address peersAll,
      Watcher watcher,
      Function<Address, Consumer<VirtualPipe>> taps) {
    this.events = events;
    this.net = net;
    this.process = process;
    this.host = host;
    this.peersAll = peersAll;
    this.watcher = watcher;
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
  public Future<Pipe> dial(Address to, Duration within) {
    return net.dial(process, host, to, within.toNanos())
        .map(
            pipe -> {
              taps.apply(to).accept(pipe);
              return pipe;
            });
  }

  @Override
  public Future<Integer> listen(Address at, Consumer<Pipe> arrived) {
    net.listen(
        at,
        process,
        pipe -> {
          net.soon(process, () -> arrived.accept(pipe));
          return true;
        });
    return Future.succeededFuture(at.port());
  }

  @Override
  public BiConsumer<Buffer, Address> datagrams(Address at, BiConsumer<Buffer, Address> heard) {
    net.hear(at, process, heard);
    return (bytes, to) -> net.send(at, bytes, to, peersAll);
  }

  @Override
  public Watcher watcher() {
    return watcher;
  }
}
