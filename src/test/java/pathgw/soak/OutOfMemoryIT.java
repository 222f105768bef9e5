package pathgw.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The memory of a process is used up in spite of all limits, forced by options of Java. */
@Timeout(60)
class OutOfMemoryIT {
  private static final int EXIT_OUT_OF_MEMORY = 3;
  private static final int CONNECTIONS = 40;
  private static final int WRITES = 16;
  private static final int VALUE_BYTES = 60_000;
  private static final long ENDS_WITHIN_MS = 10_000;

  @TempDir Path folder;
  private final Vertx vertx = SoakCluster.vertx();
  private final SoakCluster cluster = new SoakCluster(vertx, new Random(1));
  private ProxyProcess proxy;
  private PipelinedClients clients;

  @BeforeEach
  void start() throws Exception {
    cluster.start();
  }

  @AfterEach
  void end() throws Exception {
    proxy.kill();
    clients.stop();
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  /** Sends writes on many connections. The process may end before all of them are open. */
  private void sendUntilRefused() throws Exception {
    for (int i = 0; i < CONNECTIONS; i++) {
      try {
        clients.connect().send(RequestClass.ROSTER, WRITES, VALUE_BYTES);
      } catch (ExecutionException refused) {
        return;
      }
    }
  }

  /** Guards against a process that lives on after an error that may have stopped any part of it. */
  @ParameterizedTest
  @CsvSource({
    "-Xms6m -Xmx6m -Xmn2m, Java heap space",
    "-XX:MaxDirectMemorySize=2m, the process ends with status 3"
  })
  void processThatIsOutOfMemoryEnds(String javaOptions, String logged) throws Exception {
    proxy = ProxyProcess.withJavaOptions(folder, cluster.discoveryPort(), 1, javaOptions);
    proxy.awaitServing();
    clients = new PipelinedClients(cluster, proxy.port, "o");
    sendUntilRefused();
    assertTrue(proxy.endsWithin(ENDS_WITHIN_MS), proxy.log());
    assertEquals(EXIT_OUT_OF_MEMORY, proxy.exitStatus(), proxy.log());
    assertTrue(proxy.log().contains(logged), proxy.log());
  }
}
