package pathgw.fake;

import io.vertx.core.buffer.Buffer;

/** One fake's side of a connection, through which it sends, closes and resets. */
public interface ConnectionSide {
  /** Sends bytes. */
  void write(Buffer bytes);

  /** Closes the connection after all written bytes have been sent. */
  void close();

  /** Resets the connection immediately; bytes in transit are lost. */
  void reset();

  /** Returns whether the peer is known to have unread bytes; false if that is unknown. */
  default boolean peerHasUnreadBytes() {
    return false;
  }
}
