package pathgw.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Clients send many commands at once while the proxy shuts down gracefully. */
@Timeout(60)
class ShutdownBurstIT {
  private static final int CONNECTIONS = 20;
  private static final int LONGEST_BURST = 300;
  private static final int SHORTEST_BURST = 10;
  private static final int LATEST_BURST_MS = 450;
  private static final int ORIGIN_MS = 100;

  /** The earliest kill after SIGTERM: the longest timeout of a request and 0.7 s. */
  private static final long KILL_AFTER_MS = RequestClass.READ.longestTimeoutMs + 700;

  @TempDir Path folder;
  private final Vertx vertx = SoakCluster.vertx();
  private final Random random = new Random(1);
  private final SoakCluster cluster = new SoakCluster(vertx, random);
  private final List<PipelinedClients.Connection> connections = new ArrayList<>();
  private ProxyProcess proxy;
  private PipelinedClients clients;

  @BeforeEach
  void start() throws Exception {
    cluster.start();
    cluster.onLoop(() -> cluster.setOriginDelay(ORIGIN_MS));
  }

  @AfterEach
  void end() throws Exception {
    proxy.kill();
    clients.stop();
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  private void useConnections() throws Exception {
    for (int i = 0; i < CONNECTIONS; i++) {
      PipelinedClients.Connection connection = clients.connect();
      connection.send(RequestClass.READ, 1, 0);
      connections.add(connection);
    }
    clients.awaitResponses(RequestClass.READ.longestTimeoutMs);
  }

  /** Sends a burst on each connection, at random times. */
  private void sendBursts(int valueBytes) throws Exception {
    long startNanos = System.nanoTime();
    long[] offsetsMs = random.longs(CONNECTIONS, 0, LATEST_BURST_MS).sorted().toArray();
    for (int i = 0; i < CONNECTIONS; i++) {
      int count = SHORTEST_BURST + random.nextInt(LONGEST_BURST - SHORTEST_BURST);
      RequestClass requestClass = random.nextBoolean() ? RequestClass.READ : RequestClass.BOOKING;
      PipelinedClients.Batch batch = connections.get(i).prepare(requestClass, count, valueBytes);
      long sinceStartMs = (System.nanoTime() - startNanos) / SoakCluster.NANOS_PER_MILLI;
      Thread.sleep(Math.max(0, offsetsMs[i] - sinceStartMs));
      batch.send();
    }
  }

  /** Guards against commands that a draining connection leaves unread when it ends. */
  @ParameterizedTest
  @CsvSource({"96, 64", "128, 1024", "192, 16384"})
  void commandsSentAtOnceDuringTheGracePeriodAreAnswered(int memoryMb, int valueBytes)
      throws Exception {
    proxy = ProxyProcess.withMemory(folder, cluster.discoveryPort(), 1, memoryMb);
    proxy.awaitServing();
    Thread.sleep(1000);
    clients = new PipelinedClients(cluster, proxy.port, "b");
    useConnections();
    proxy.terminate();
    long terminatedAtNanos = System.nanoTime();
    sendBursts(valueBytes);
    long sinceTermMs = (System.nanoTime() - terminatedAtNanos) / SoakCluster.NANOS_PER_MILLI;
    clients.awaitResponses(KILL_AFTER_MS - sinceTermMs);
    assertEquals(0, clients.lost(), () -> clients.results() + "\n" + proxy.logUnchecked());
    assertEquals(List.of(), cluster.violations, proxy.log());
    assertTrue(proxy.endsWithin(KILL_AFTER_MS), proxy.log());
  }
}
