package pathgw.simulation.cluster;

import io.vertx.core.buffer.Buffer;
import java.util.function.Function;
import pathgw.fake.ConnectionHandler;
import pathgw.fake.ConnectionSide;
import pathgw.simulation.network.VirtualConnection;

/** Connects the fakes, which do no I/O themselves, to ends of virtual connections. */
final class FakeConnections {
  private FakeConnections() {}

  /**
   * Attaches a fake to its end of a connection.
   *
   * @param acceptor returns the fake's handler for the connection; null to refuse it
   * @return whether the connection was accepted
   */
  static boolean attach(
      VirtualConnection connection, Function<ConnectionSide, ConnectionHandler> acceptor) {
    ConnectionHandler handler = acceptor.apply(new VirtualSide(connection));
    if (handler == null) {
      return false;
    }
    connection.onData(handler::received);
    connection.onClose(reason -> handler.ended());
    return true;
  }

  /** Returns the name of the proxy at the remote end of a connection. */
  static String proxyName(VirtualConnection connection) {
    return SimulatedProxy.nameOfHost(connection.remoteAddress().host());
  }

  private record VirtualSide(VirtualConnection connection) implements ConnectionSide {
    @Override
    public void write(Buffer bytes) {
      connection.write(bytes);
    }

    @Override
    public void close() {
      connection.close();
    }

    @Override
    public void reset() {
      connection.reset();
    }

    @Override
    public boolean peerHasUnreadBytes() {
      return connection.hasUnreadBytesAtRemote();
    }
  }
}
