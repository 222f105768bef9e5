package pathgw.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The proxy ends connections of clients that still send commands or read responses. */
@Timeout(60)
class ConnectionEndIT extends SoakFixture {
  private static final int DESCRIPTORS = 256;
  private static final int IDLE_CONNECTIONS = 100;
  private static final int ROUNDS = 1500;
  private static final long ROUND_INTERVAL_MS = 4;

  private static final int VALUE_BYTES = 65_000;
  private static final int LONG_RESPONSES = 50;
  private static final int SMALL_RECEIVE_BUFFER_BYTES = 4096;
  private static final int SLOW_READ_BYTES = 6_000;
  private static final long SLOW_READ_INTERVAL_MS = 20;
  private static final long SLOW_READING_MS = 5500;

  private List<String> closesOverUndeliveredCommands() throws Exception {
    return proxy
        .log()
        .lines()
        .filter(line -> line.matches(".*connection closed: .* undelivered bytes [1-9].*"))
        .toList();
  }

  @Test
  void commandReadWhileItsIdleConnectionIsClosedForAnotherClientIsAnswered() throws Exception {
    useProxy(new ProxyProcess(folder, cluster.discoveryPort(), 1, DESCRIPTORS));
    clients.openIdle(IDLE_CONNECTIONS);
    Thread.sleep(500);
    for (int i = 0; i < ROUNDS; i++) {
      cluster.onLoop(
          () -> {
            clients.sendOnLongestIdle(RequestClass.READ);
            clients.openIdle(1);
          });
      Thread.sleep(ROUND_INTERVAL_MS);
    }
    Thread.sleep(RequestClass.READ.longestTimeoutMs);
    assertEquals(List.of(), closesOverUndeliveredCommands());
    assertEquals(List.of(), cluster.violations);
  }

  /** The responses exceed what the kernel buffers, so the last ones wait in the proxy. */
  @Test
  void responsesReadSlowlyAreWholeThoughTheConnectionCountsAsIdle() throws Exception {
    useProxy(new ProxyProcess(folder, cluster.discoveryPort(), 1, 2 * DESCRIPTORS));
    List<ClientRequest> requests = new ArrayList<>();
    for (int i = 0; i < LONG_RESPONSES; i++) {
      ClientRequest request =
          new ClientRequest("e" + i, RequestClass.READ, RequestClass.READ.longestTimeoutMs);
      request.sentAtNanos = System.nanoTime();
      requests.add(request);
    }
    cluster.onLoop(
        () -> {
          cluster.setValue("v".repeat(VALUE_BYTES));
          requests.forEach(request -> cluster.requests.put(request.id, request));
        });
    long received;
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
      socket.connect(new InetSocketAddress("127.0.0.1", proxy.port));
      String commands = requests.stream().map(ClientRequest::command).collect(Collectors.joining());
      socket.getOutputStream().write(commands.getBytes(StandardCharsets.US_ASCII));
      received = readSlowlyThenToTheEnd(socket.getInputStream());
    }
    long expected = 0;
    for (ClientRequest request : requests) {
      expected += ("VA " + VALUE_BYTES + " O" + request.id).length() + VALUE_BYTES + 4;
    }
    assertEquals(expected, received, proxy.log());
  }

  private static long readSlowlyThenToTheEnd(InputStream in) throws Exception {
    byte[] buffer = new byte[SLOW_READ_BYTES];
    long received = 0;
    long slowUntilNanos = System.nanoTime() + SLOW_READING_MS * SoakCluster.NANOS_PER_MILLI;
    int count = in.read(buffer);
    while (count >= 0) {
      received += count;
      if (System.nanoTime() < slowUntilNanos) {
        Thread.sleep(SLOW_READ_INTERVAL_MS);
      }
      count = in.read(buffer);
    }
    return received;
  }
}
