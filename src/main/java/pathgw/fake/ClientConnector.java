package pathgw.fake;

import java.util.function.Function;

/** Opens connections from clients to proxies. */
public interface ClientConnector {
  /**
   * Opens a connection to a proxy.
   *
   * @param proxy index of the proxy
   * @param onOpen called when the connection is open; returns the client's handler for it
   * @param onRefused called if the connection cannot be opened
   */
  void open(int proxy, Function<ConnectionSide, ConnectionHandler> onOpen, Runnable onRefused);
}
