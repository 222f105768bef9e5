package pathgw.simulation;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import pathgw.config.Address;
import pathgw.transport.Connection;
import pathgw.transport.Transport;

/** A proxy's world that a test changes here and there; all else passes through. */
class MutatedTransport implements Transport {
  final Transport honest;

  MutatedTransport(Transport honest) {
    this.honest = honest;
  }

  /** A connection that the proxy opened. */
  Connection dialled(Connection connection, Address to) {
    return connection;
  }

  /** A connection that came to the proxy. */
  Connection arrived(Connection connection) {
    return connection;
  }

  static boolean toList(Address to) {
    return to.host().startsWith("10.2.");
  }

  static boolean toNodes(Address to) {
    return to.host().startsWith("10.1.") || to.host().startsWith("10.3.");
  }

  static boolean toOrigin(Address to) {
    return to.host().startsWith("10.3.");
  }

  static boolean fromClients(Connection connection) {
    return connection.remoteAddress().host().startsWith("10.4.");
  }

  @Override
  public long nanos() {
    return honest.nanos();
  }

  @Override
  public long unixMillis() {
    return honest.unixMillis();
  }

  @Override
  public Runnable after(Duration span, Runnable what) {
    return honest.after(span, what);
  }

  @Override
  public Future<Connection> dial(Address to, Duration within) {
    return honest.dial(to, within).map(connection -> dialled(connection, to));
  }

  @Override
  public Future<Integer> listen(Address at, Consumer<Connection> taken) {
    return honest.listen(at, connection -> taken.accept(arrived(connection)));
  }

  @Override
  public BiConsumer<Buffer, Address> datagrams(Address at, BiConsumer<Buffer, Address> heard) {
    return honest.datagrams(at, heard);
  }

  /** One connection; all passes through but what a test overrides. */
  static class Through implements Connection {
    final Connection honest;

    Through(Connection honest) {
      this.honest = honest;
    }

    @Override
    public void onData(Consumer<Buffer> came) {
      honest.onData(came);
    }

    @Override
    public void onClose(Consumer<CloseReason> over) {
      honest.onClose(over);
    }

    @Override
    public void onWritable(Runnable room) {
      honest.onWritable(room);
    }

    @Override
    public Future<Void> write(Buffer bytes) {
      return honest.write(bytes);
    }

    @Override
    public boolean isWriteQueueFull() {
      return honest.isWriteQueueFull();
    }

    @Override
    public void pause() {
      honest.pause();
    }

    @Override
    public void resume() {
      honest.resume();
    }

    @Override
    public void close() {
      honest.close();
    }

    @Override
    public void shutdownOutput() {
      honest.shutdownOutput();
    }

    @Override
    public Address localAddress() {
      return honest.localAddress();
    }

    @Override
    public Address remoteAddress() {
      return honest.remoteAddress();
    }
  }
}
