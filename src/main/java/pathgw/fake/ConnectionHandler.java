package pathgw.fake;

import io.vertx.core.buffer.Buffer;

/** Receives the events of one connection of a fake. */
public interface ConnectionHandler {
  /** Bytes have arrived; a message may be cut anywhere. */
  void received(Buffer bytes);

  /** The connection has ended, whoever ended it. */
  void ended();
}
