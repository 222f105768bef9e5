package pathgw.fake.server;

import io.vertx.core.buffer.Buffer;

/** The place of one request's reply in the order of its connection; filled once. */
final class PendingReply {
  private final ServerConnection connection;
  private Buffer bytes;
  private boolean endsConnection;

  PendingReply(ServerConnection connection) {
    this.connection = connection;
  }

  /** Sends a complete reply as soon as all earlier ones have been sent. */
  void send(Buffer reply) {
    bytes = reply;
    connection.flush();
  }

  /** Sends a reply without a length, whose end is the end of its connection. */
  void sendLast(Buffer reply) {
    endsConnection = true;
    send(reply);
  }

  /** The reply, or null until it is sent. */
  Buffer bytes() {
    return bytes;
  }

  boolean endsConnection() {
    return endsConnection;
  }

  /** The proxy whose request it is. */
  String proxyName() {
    return connection.proxyName();
  }
}
