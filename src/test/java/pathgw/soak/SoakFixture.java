package pathgw.soak;

import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/**
 * Base class of tests on real processes: a fake cluster, one proxy process, and clients whose
 * requests the cluster knows.
 */
abstract class SoakFixture {
  @TempDir Path folder;
  final Vertx vertx = SoakCluster.vertx();
  final Random random = new Random(1);
  final SoakCluster cluster = new SoakCluster(vertx, random);
  ProxyProcess proxy;
  SoakClients clients;

  @BeforeEach
  void startCluster() throws Exception {
    cluster.start();
  }

  /** Takes over a process that has been started, and waits until it serves. */
  void useProxy(ProxyProcess started) throws Exception {
    proxy = started;
    proxy.awaitServing();
    clients = new SoakClients(vertx, cluster, random, proxy.port, "r");
  }

  /** Starts a proxy that may use the given amount of memory. */
  void startProxy(int memoryMb) throws Exception {
    useProxy(ProxyProcess.withMemory(folder, cluster.discoveryPort(), 1, memoryMb));
  }

  /** The requests whose clients waited for a response and got none. */
  List<String> lostRequests() {
    return cluster.requests.values().stream()
        .filter(ClientRequest::isLost)
        .map(ClientRequest::toString)
        .toList();
  }

  /**
   * Stops the clients that a test has beside {@link #clients}. The process has ended before: the
   * connection of a client that floods closes only once its bytes are read, or cannot be sent.
   */
  void stopOtherClients() throws Exception {}

  @AfterEach
  void endProxyAndClients() throws Exception {
    proxy.kill();
    stopOtherClients();
    clients.close();
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }
}
