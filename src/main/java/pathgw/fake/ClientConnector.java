package pathgw.fake;

import java.util.function.Function;

/** Opens connections from clients to proxies. */
public interface ClientConnector {
  /**
   * Opens a connection to a proxy.
   *
   * @param proxy index of the proxy
   * @param onOpen creates the client's handler of the open connection
   * @param onRefused called where the connection cannot be opened
   */
  void open(int proxy, Function<ConnectionSide, ConnectionHandler> onOpen, Runnable onRefused);
}
