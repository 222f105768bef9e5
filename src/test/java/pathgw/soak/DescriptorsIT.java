package pathgw.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Uses up the descriptors of the proxy process, while other clients send requests. */
@Timeout(60)
class DescriptorsIT extends SoakFixture {
  private static final int DESCRIPTORS = 256;
  private static final int CROWD = 300;
  private static final int ROUNDS = 5;
  private static final int REQUESTS_PER_ROUND = 60;
  private static final long REQUEST_INTERVAL_MS = 25;
  private static final long PAUSE_MS = 140;
  private static final long TIMEOUT_MS = 400;
  private static final long LONG_TIMEOUT_MS = 1200;
  private static final long LEAVE_AFTER_MS = 50;

  @BeforeEach
  void start() throws Exception {
    useProxy(new ProxyProcess(folder, cluster.discoveryPort(), 1, DESCRIPTORS));
  }

  /**
   * Repeats requests while a crowd connects, all at once after a pause of the proxy.
   *
   * @param crowdLeavesAfter the number of requests after which the crowd leaves
   */
  private void sendBesideCrowd(Runnable sendRequest, int crowdLeavesAfter) throws Exception {
    for (int round = 0; round < ROUNDS; round++) {
      proxy.pause(PAUSE_MS);
      cluster.onLoop(() -> clients.openSilentConnections(CROWD, true));
      for (int i = 0; i < REQUESTS_PER_ROUND; i++) {
        cluster.onLoop(sendRequest);
        Thread.sleep(REQUEST_INTERVAL_MS);
        if (i == crowdLeavesAfter) {
          cluster.onLoop(clients::closeSilentConnections);
        }
      }
    }
    Thread.sleep(LONG_TIMEOUT_MS);
  }

  @Test
  void requestsBesideACrowdThatUsesUpDescriptorsAreAnsweredInTime() throws Exception {
    sendBesideCrowd(
        () -> clients.send(RequestClass.READ, TIMEOUT_MS, true), REQUESTS_PER_ROUND - 1);
    assertEquals(List.of(), cluster.violations, proxy.log());
    assertEquals(List.of(), lostRequests(), proxy.log());
  }

  @Test
  void requestsBesideACrowdAreAnsweredThoughTheProcessMayOpenFewerDescriptorsThanConfigured()
      throws Exception {
    proxy.kill();
    useProxy(new ProxyProcess(folder, cluster.discoveryPort(), 2, 4 * DESCRIPTORS, DESCRIPTORS));
    sendBesideCrowd(
        () -> clients.send(RequestClass.READ, TIMEOUT_MS, true), REQUESTS_PER_ROUND - 1);
    assertEquals(List.of(), cluster.violations, proxy.log());
    assertEquals(List.of(), lostRequests(), proxy.log());
  }

  @Test
  void requestsWhoseClientsLeaveWhileACrowdUsesUpDescriptorsAreNotForwarded() throws Exception {
    sendBesideCrowd(
        () -> clients.sendAndLeave(LONG_TIMEOUT_MS, LEAVE_AFTER_MS), REQUESTS_PER_ROUND / 6);
    assertEquals(List.of(), cluster.violations, proxy.log());
  }
}
