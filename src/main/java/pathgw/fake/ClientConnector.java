package pathgw.fake;

import java.util.function.Function;

/** The way from clients to proxies. */
public interface ClientConnector {
  /**
   * Opens a connection to a proxy.
   *
   * @param up gives what the client makes of the connection; {@code refused} runs where none comes
   *     up
   */
  void open(int proxy, Function<ConnectionSide, ConnectionHandler> up, Runnable refused);
}
