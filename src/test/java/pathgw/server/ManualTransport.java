package pathgw.server;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import pathgw.config.Address;
import pathgw.transport.Connection;
import pathgw.transport.FakeConnection;
import pathgw.transport.Transport;

/**
 * A world that the test holds: time passes when it says so, connections and datagrams come from it.
 */
final class ManualTransport implements Transport {
  private record Timer(long at, Runnable what) {}

  final List<FakeConnection> dialled = new ArrayList<>();
  Consumer<Connection> arrives;
  BiConsumer<Buffer, Address> heard;
  private final List<Timer> timers = new ArrayList<>();
  private long nanos;

  void pass(long ms) {
    for (long i = 0; i < ms; i++) {
      nanos += 1_000_000;
      for (Timer t : List.copyOf(timers)) {
        if (t.at <= nanos && timers.remove(t)) {
          t.what.run();
        }
      }
    }
  }

  @Override
  public long nanos() {
    return nanos;
  }

  @Override
  public long unixMillis() {
    return 1_000_000;
  }

  @Override
  public Runnable after(Duration span, Runnable what) {
    Timer timer = new Timer(nanos + span.toNanos(), what);
    timers.add(timer);
    return () -> timers.remove(timer);
  }

  @Override
  public Future<Connection> dial(Address to, Duration within) {
    FakeConnection socket = new FakeConnection();
    dialled.add(socket);
    return Future.succeededFuture(socket);
  }

  @Override
  public Future<Integer> listen(Address at, Consumer<Connection> arrived) {
    arrives = arrived;
    return Future.succeededFuture(at.port());
  }

  @Override
  public BiConsumer<Buffer, Address> datagrams(Address at, BiConsumer<Buffer, Address> heard) {
    this.heard = heard;
    return (bytes, to) -> {};
  }
}
