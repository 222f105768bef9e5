package pathgw.standin;

import io.vertx.core.buffer.Buffer;

/** What a stand-in makes of one connection. */
public interface Talk {
  /** Bytes as they come, cut anywhere. */
  void came(Buffer bytes);

  /** The connection has ended, whoever ended it. */
  void over();
}
