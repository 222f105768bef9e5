package pathgw.fake;

import io.vertx.core.buffer.Buffer;

/** A fake's side of one connection. */
public interface ConnectionSide {
  void write(Buffer bytes);

  /** After what was written. */
  void close();

  /** At once: what is on its way is lost. */
  void reset();

  /** Whether the other side is known not to have read all that was written; sockets cannot tell. */
  default boolean unread() {
    return false;
  }
}
