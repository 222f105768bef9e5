package pathgw.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients close their connections while the proxy has not read all that they sent. */
@Timeout(60)
class ClientLeaveIT extends SoakFixture {
  private static final int ROUNDS = 4;
  private static final int PIPELINED = 10000;
  private static final long TIMEOUT_MS = 1200;
  private static final long LEAVE_AFTER_MS = 20;
  private static final long HANG_MS = 300;

  /** Guards against a close that is not seen, since the commands before it are not read. */
  @ParameterizedTest
  @ValueSource(ints = {96, 192})
  void pipelinedRequestsOfAClientThatLeftAreNotForwarded(int memoryMb) throws Exception {
    startProxy(memoryMb);
    for (int round = 0; round < ROUNDS; round++) {
      cluster.onLoop(() -> cluster.setHangingNodes(SoakCluster.NODES));
      cluster.onLoop(() -> clients.pipelineAndLeave(PIPELINED, TIMEOUT_MS, LEAVE_AFTER_MS));
      Thread.sleep(HANG_MS);
      cluster.onLoop(() -> cluster.setHangingNodes(0));
      Thread.sleep(TIMEOUT_MS);
    }
    assertEquals(List.of(), cluster.violations, proxy.log());
  }
}
