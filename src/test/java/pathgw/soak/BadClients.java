package pathgw.soak;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.TimeUnit;

/** Clients that misuse the proxy, on an event loop of their own. They begin again once closed. */
final class BadClients {
  private static final int STORED_VALUE_BYTES = 64 * 1024;
  private static final int BUFFER_BYTES = 1 << 16;

  private final Vertx vertx = SoakCluster.vertx();
  private final NetClient client = vertx.createNetClient();
  private final int port;
  private volatile boolean stopped;

  BadClients(int port) {
    this.port = port;
  }

  /** Clients that write a part of a value and stop. */
  void stopWithinValue(int clients, int writtenBytes) {
    for (int i = 0; i < clients; i++) {
      stopWithinValue("bad" + i, writtenBytes);
    }
  }

  private void stopWithinValue(String id, int writtenBytes) {
    connectAgain(
        socket -> {
          socket.write(
              "ms k" + id + " " + STORED_VALUE_BYTES + " O" + id + " Pc=write,t=one,d=300\r\n");
          socket.write(Buffer.buffer(new byte[writtenBytes]));
        });
  }

  /** Clients that repeat the same bytes at full speed and read what they are sent. */
  void flood(int clients, String bytes) {
    Buffer many = Buffer.buffer(bytes.repeat(BUFFER_BYTES / bytes.length()));
    for (int i = 0; i < clients; i++) {
      connectAgain(socket -> flood(socket, many));
    }
  }

  private void flood(NetSocket socket, Buffer bytes) {
    while (!stopped && !socket.writeQueueFull()) {
      socket.write(bytes);
    }
    socket.drainHandler(drained -> flood(socket, bytes));
  }

  private interface Misuse {
    void begin(NetSocket socket);
  }

  private void connectAgain(Misuse misuse) {
    if (stopped) {
      return;
    }
    client
        .connect(port, "127.0.0.1")
        .onSuccess(
            socket -> {
              socket.handler(ignored -> {});
              socket.exceptionHandler(reset -> {});
              socket.closeHandler(closed -> connectAgain(misuse));
              misuse.begin(socket);
            })
        .onFailure(refused -> vertx.setTimer(1, due -> connectAgain(misuse)));
  }

  void stop() throws Exception {
    stopped = true;
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }
}
