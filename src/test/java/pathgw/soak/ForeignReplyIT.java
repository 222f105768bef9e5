package pathgw.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Cache nodes send bytes that do not belong to the reply to the request in flight. */
@Timeout(60)
class ForeignReplyIT extends SoakFixture {
  private static final int REQUESTS = 1600;
  private static final int REPLIES_PER_COPY_PART = 4;

  @BeforeEach
  void start() throws Exception {
    useProxy(new ProxyProcess(folder, cluster.discoveryPort(), 1));
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
