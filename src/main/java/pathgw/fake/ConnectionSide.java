package pathgw.fake;

import io.vertx.core.buffer.Buffer;

/** A fake's side of one connection, on which it sends. */
public interface ConnectionSide {
  /** Sends bytes. */
  void write(Buffer bytes);

  /** Closes the connection after everything written has been sent. */
  void close();

  /** Resets the connection at once; bytes in flight are lost. */
  void reset();

  /** Whether the peer is known not to have read everything written; false where unknown. */
  default boolean peerHasUnreadBytes() {
    return false;
  }
}
