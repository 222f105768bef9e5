package pathgw.fake;

import io.vertx.core.buffer.Buffer;

/** Receives the events of one connection of a fake. */
public interface ConnectionHandler {
  /** Called when bytes have arrived; a message may be split at any byte. */
  void received(Buffer bytes);

  /** Called when the connection has ended, no matter which side ended it. */
  void ended();
}
