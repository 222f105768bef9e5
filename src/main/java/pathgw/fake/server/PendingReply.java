package pathgw.fake.server;

import io.vertx.core.buffer.Buffer;

/** The reply to one request, queued in the order of its connection's requests; set once. */
final class PendingReply {
  private final ServerConnection connection;
  private Buffer bytes;
  private boolean endsConnection;

  PendingReply(ServerConnection connection) {
    this.connection = connection;
  }

  /** Sends the reply as soon as all earlier replies of the connection have been sent. */
  void send(Buffer reply) {
    bytes = reply;
    connection.flush();
  }

  /** Sends a reply without a length, which ends with its connection. */
  void sendLast(Buffer reply) {
    endsConnection = true;
    send(reply);
  }

  /** Returns the reply, or null until it is set. */
  Buffer bytes() {
    return bytes;
  }

  boolean endsConnection() {
    return endsConnection;
  }

  /** Returns the name of the proxy that sent the request. */
  String proxyName() {
    return connection.proxyName();
  }
}
