package pathgw.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
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

/** Cache nodes send bytes that do not belong to the reply to the request in flight. */
@Timeout(60)
class ForeignReplyIT {
  private static final int REQUESTS = 1600;
  private static final int REPLIES_PER_COPY_PART = 4;

  @TempDir Path folder;
  private final Vertx vertx = SoakCluster.vertx();
  private final Random random = new Random(1);
  private final SoakCluster cluster = new SoakCluster(vertx, random);
  private ProxyProcess proxy;
  private SoakClients clients;

  @BeforeEach
  void start() throws Exception {
    cluster.start();
    proxy = new ProxyProcess(folder, cluster.discoveryPort(), 1);
    proxy.awaitServing();
    clients = new SoakClients(vertx, cluster, random, proxy.port, "f");
  }

  @AfterEach
  void end() throws Exception {
    proxy.kill();
    clients.close();
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  @Test
  void partOfACopyAheadOfTheNextReplyDoesNotReachAClient() throws Exception {
    cluster.onLoop(() -> cluster.setRepliesPerCopyPart(REPLIES_PER_COPY_PART));
    for (int i = 0; i < REQUESTS; i++) {
      cluster.onLoop(() -> clients.sendPatiently(RequestClass.READ));
      Thread.sleep(5);
    }
    Thread.sleep(RequestClass.READ.longestTimeoutMs);
    assertTrue(cluster.copyPartsSent > 0);
    assertEquals(List.of(), cluster.violations, cluster.copyPartsSent + " sent");
  }
}
