package pathgw.soak;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Clients that misuse the proxy, on an event loop of their own. They begin again once closed. */
final class BadClients {
  private static final int STORED_VALUE_BYTES = 64 * 1024;
  private static final int BUFFER_BYTES = 1 << 16;
  private static final int RECEIVE_BUFFER_BYTES = 4096;

  private final Vertx vertx = SoakCluster.vertx();
  private final NetClient client = vertx.createNetClient();
  private final NetClient slowClient =
      vertx.createNetClient(new NetClientOptions().setReceiveBufferSize(RECEIVE_BUFFER_BYTES));
  private final int port;
  private volatile boolean stopped;

  BadClients(int port) {
    this.port = port;
  }

  /** Clients that write a part of a value and stop. */
  void stopWithinValue(int clients, int writtenBytes) {
    for (int i = 0; i < clients; i++) {
      stopAfter(1, writeLine("bad" + i) + "\0".repeat(writtenBytes));
    }
  }

  private static String writeLine(String id) {
    return "ms k" + id + " " + STORED_VALUE_BYTES + " O" + id + " Pc=write,t=one,d=300\r\n";
  }

  /** Clients that write the same bytes and stop. */
  void stopAfter(int clients, String bytes) {
    for (int i = 0; i < clients; i++) {
      connectAgain(
          client,
          socket -> {
            socket.write(bytes);
            return BadClients::keepNothing;
          });
    }
  }

  /** Clients that write a value in small pieces, so slowly that it takes seconds. */
  void writeSlowly(int clients, int pieceBytes, long intervalMs) {
    Buffer piece = Buffer.buffer(new byte[pieceBytes]);
    for (int i = 0; i < clients; i++) {
      String line = writeLine("slow" + i);
      connectAgain(
          client,
          socket -> {
            socket.write(line);
            long timer = vertx.setPeriodic(intervalMs, due -> socket.write(piece));
            return () -> vertx.cancelTimer(timer);
          });
    }
  }

  /**
   * Clients that send commands at once and read the responses slowly.
   *
   * @param commands supplies the commands of each client
   * @param intervalMs how long each client waits between two reads
   */
  void readSlowly(int clients, Supplier<String> commands, long intervalMs) {
    for (int i = 0; i < clients; i++) {
      String bytes = commands.get();
      connectAgain(
          slowClient,
          socket -> {
            socket.pause();
            socket.write(bytes);
            long timer = vertx.setPeriodic(intervalMs, due -> socket.fetch(1));
            return () -> vertx.cancelTimer(timer);
          });
    }
  }

  /** Clients that repeat the same bytes at full speed and read what they are sent. */
  void flood(int clients, String bytes) {
    Buffer many = Buffer.buffer(bytes.repeat(BUFFER_BYTES / bytes.length()));
    flood(clients, () -> many);
  }

  /** Clients that send bytes at full speed and read what they are sent. */
  void flood(int clients, Supplier<Buffer> bytes) {
    for (int i = 0; i < clients; i++) {
      connectAgain(
          client,
          socket -> {
            flood(socket, bytes);
            return BadClients::keepNothing;
          });
    }
  }

  private void flood(NetSocket socket, Supplier<Buffer> bytes) {
    while (!stopped && !socket.writeQueueFull()) {
      socket.write(bytes.get());
    }
    socket.drainHandler(drained -> flood(socket, bytes));
  }

  private static void keepNothing() {}

  private interface Misuse {
    /** Begins on a new connection; returns what runs once it has been closed. */
    Runnable begin(NetSocket socket);
  }

  private void connectAgain(NetClient from, Misuse misuse) {
    if (stopped) {
      return;
    }
    from.connect(port, "127.0.0.1")
        .onSuccess(
            socket -> {
              socket.handler(ignored -> {});
              socket.exceptionHandler(reset -> {});
              Runnable cleanup = misuse.begin(socket);
              socket.closeHandler(
                  closed -> {
                    cleanup.run();
                    connectAgain(from, misuse);
                  });
            })
        .onFailure(refused -> vertx.setTimer(1, due -> connectAgain(from, misuse)));
  }

  void stop() throws Exception {
    stopped = true;
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }
}
