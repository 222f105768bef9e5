package pathgw.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import pathgw.config.Address;
import pathgw.transport.Connection.CloseReason;

/** Tests what the README guarantees where there is no native transport. */
class PortableTransportTest {
  private static final String LOOPBACK = "127.0.0.1";
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);

  private final Vertx vertx =
      Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setPreferNativeTransport(false));
  private final VertxTransport transport = new VertxTransport(vertx);
  private final List<String> events = new ArrayList<>();
  private final Promise<CloseReason> closed = Promise.promise();

  @AfterEach
  void close() throws Exception {
    await(vertx.close());
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  private void recordEvents(Connection connection) {
    connection.onData(bytes -> events.add(bytes.toString()));
    connection.onClose(closed::complete);
  }

  @Test
  void kindAndReasonAreNamed() {
    assertEquals(TransportKind.PORTABLE, transport.kind());
    assertEquals(
        "transport portable on "
            + System.getProperty("os.name")
            + " "
            + System.getProperty("os.arch")
            + ", native transport unavailable: null",
        transport.description());
  }

  @Test
  void bytesArriveInOrderAndAnEndOfStreamAfterThem() throws Exception {
    int port = await(transport.listen(new Address(LOOPBACK, 0), this::recordEvents));
    StringBuilder sent = new StringBuilder();
    try (Socket peer = new Socket(LOOPBACK, port)) {
      for (int i = 0; i < 100; i++) {
        peer.getOutputStream().write((i + " ").getBytes(StandardCharsets.US_ASCII));
        sent.append(i).append(' ');
      }
    }
    assertEquals(CloseReason.END_OF_STREAM, await(closed.future()));
    assertEquals(sent.toString(), String.join("", events));
  }

  @Test
  void resetIsToldFromAnEndOfStream() throws Exception {
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK))) {
      Address address = new Address(LOOPBACK, listener.getLocalPort());
      recordEvents(await(transport.dial(address, CONNECT_TIMEOUT)));
      Socket peer = listener.accept();
      peer.setSoLinger(true, 0);
      peer.close();
    }
    assertEquals(CloseReason.BROKEN, await(closed.future()));
  }

  @Test
  void refusedConnectionIsNoConnectTimeout() throws Exception {
    int port;
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK))) {
      port = listener.getLocalPort();
    }
    ExecutionException failure =
        assertThrows(
            ExecutionException.class,
            () -> await(transport.dial(new Address(LOOPBACK, port), CONNECT_TIMEOUT)));
    assertFalse(failure.getCause() instanceof Transport.ConnectTimeoutException);
  }
}
