package pathgw.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Other clients and the origin use up memory or the event loop beside usual requests. */
@Timeout(60)
class ExhaustionIT {
  private static final int STOPPING_CLIENTS = 480;
  private static final int WRITTEN_BYTES = 40_000;
  private static final int FLOODING_CLIENTS = 20;
  private static final int REPLIES_PER_ENDLESS_REPLY = 4;
  private static final int SMALLEST_MEMORY_MB = 32;
  private static final int USUAL_CONNECTIONS = 20;
  private static final int REQUESTS = 500;
  private static final long REQUEST_INTERVAL_MS = 12;
  private static final long LONGEST_WAIT_MS = 1800;

  @TempDir Path folder;
  private final Vertx vertx = SoakCluster.vertx();
  private final Random random = new Random(1);
  private final SoakCluster cluster = new SoakCluster(vertx, random);
  private ProxyProcess proxy;
  private SoakClients clients;
  private BadClients badClients;

  @BeforeEach
  void startCluster() throws Exception {
    cluster.start();
  }

  private void startProxy(int memoryMb) throws Exception {
    proxy = ProxyProcess.withMemory(folder, cluster.discoveryPort(), 1, memoryMb);
    proxy.awaitServing();
    clients = new SoakClients(vertx, cluster, random, proxy.port, "x");
    badClients = new BadClients(proxy.port);
    clients.openIdle(USUAL_CONNECTIONS);
    sendRequests(REQUESTS / 4);
  }

  @AfterEach
  void end() throws Exception {
    proxy.kill();
    badClients.stop();
    clients.close();
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  private void sendRequests(int count) throws Exception {
    for (int i = 0; i < count; i++) {
      RequestClass requestClass = i % 2 == 0 ? RequestClass.READ : RequestClass.WRITE;
      cluster.onLoop(() -> clients.sendPatiently(requestClass));
      Thread.sleep(REQUEST_INTERVAL_MS);
    }
  }

  private void assertNothingLost() throws Exception {
    Thread.sleep(LONGEST_WAIT_MS);
    List<String> lost =
        cluster.requests.values().stream()
            .filter(ClientRequest::isLost)
            .map(ClientRequest::toString)
            .toList();
    assertEquals(List.of(), lost, proxy.log());
    assertEquals(List.of(), cluster.violations, proxy.log());
    assertFalse(proxy.log().contains("OutOfMemoryError"), proxy.log());
    assertFalse(proxy.log().contains("StackOverflowError"), proxy.log());
  }

  @Test
  void requestsBesideHundredsOfHalfWrittenValuesAreAnswered() throws Exception {
    startProxy(ProxyProcess.MEMORY_MB);
    badClients.stopWithinValue(STOPPING_CLIENTS, WRITTEN_BYTES);
    sendRequests(REQUESTS);
    assertNothingLost();
  }

  @Test
  void requestsBesideHalfWrittenValuesAreAnsweredInTheSmallestProcess() throws Exception {
    startProxy(SMALLEST_MEMORY_MB);
    badClients.stopWithinValue(STOPPING_CLIENTS, WRITTEN_BYTES);
    sendRequests(REQUESTS);
    assertNothingLost();
  }

  @Test
  void requestsBesideRepliesWithoutAnEndAreAnswered() throws Exception {
    startProxy(SMALLEST_MEMORY_MB);
    cluster.onLoop(() -> cluster.setRepliesPerEndlessReply(REPLIES_PER_ENDLESS_REPLY));
    sendRequests(REQUESTS);
    assertNothingLost();
    assertTrue(cluster.endlessRepliesSent > 0);
  }

  @Test
  void requestsBesideAFloodOfUnreadableLinesAreAnswered() throws Exception {
    startProxy(ProxyProcess.MEMORY_MB);
    badClients.flood(FLOODING_CLIENTS, "hello\r\n");
    sendRequests(REQUESTS);
    assertNothingLost();
  }

  @Test
  void requestsBesideAFloodOfEmptyLinesAreAnswered() throws Exception {
    startProxy(ProxyProcess.MEMORY_MB);
    badClients.flood(FLOODING_CLIENTS, "\r\n");
    sendRequests(REQUESTS);
    assertNothingLost();
  }
}
