package pathgw.fake;

import io.vertx.core.buffer.Buffer;

/** What a fake makes of one connection. */
public interface ConnectionHandler {
  /** Bytes as they come, cut anywhere. */
  void came(Buffer bytes);

  /** The connection has ended, whoever ended it. */
  void over();
}
