package pathgw.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Other clients and the origin use up memory or the event loop beside usual requests. */
@Timeout(60)
class ExhaustionIT extends SoakFixture {
  private static final int STOPPING_CLIENTS = 480;
  private static final int WRITTEN_BYTES = 40_000;
  private static final int FLOODING_CLIENTS = 20;
  private static final int REPLIES_PER_ENDLESS_REPLY = 4;
  private static final int SMALLEST_MEMORY_MB = 32;
  private static final int USUAL_CONNECTIONS = 20;
  private static final int REQUESTS = 500;
  private static final long REQUEST_INTERVAL_MS = 12;
  private static final long LONGEST_WAIT_MS = 1800;

  private BadClients badClients;

  private void startProxyAndRequests(int memoryMb) throws Exception {
    startProxy(memoryMb);
    badClients = new BadClients(proxy.port);
    clients.openIdle(USUAL_CONNECTIONS);
    sendRequests(REQUESTS / 4);
  }

  @Override
  void stopOtherClients() throws Exception {
    badClients.stop();
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
    assertEquals(List.of(), lostRequests(), proxy.log());
    assertEquals(List.of(), cluster.violations, proxy.log());
    assertFalse(proxy.log().contains("OutOfMemoryError"), proxy.log());
    assertFalse(proxy.log().contains("StackOverflowError"), proxy.log());
  }

  @Test
  void requestsBesideHundredsOfHalfWrittenValuesAreAnswered() throws Exception {
    startProxyAndRequests(ProxyProcess.MEMORY_MB);
    badClients.stopWithinValue(STOPPING_CLIENTS, WRITTEN_BYTES);
    sendRequests(REQUESTS);
    assertNothingLost();
  }

  @Test
  void requestsBesideHalfWrittenValuesAreAnsweredInTheSmallestProcess() throws Exception {
    startProxyAndRequests(SMALLEST_MEMORY_MB);
    badClients.stopWithinValue(STOPPING_CLIENTS, WRITTEN_BYTES);
    sendRequests(REQUESTS);
    assertNothingLost();
  }

  @Test
  void requestsBesideRepliesWithoutAnEndAreAnswered() throws Exception {
    startProxyAndRequests(SMALLEST_MEMORY_MB);
    cluster.onLoop(() -> cluster.setRepliesPerEndlessReply(REPLIES_PER_ENDLESS_REPLY));
    sendRequests(REQUESTS);
    assertNothingLost();
    assertTrue(cluster.endlessRepliesSent > 0);
  }

  @Test
  void requestsBesideAFloodOfUnreadableLinesAreAnswered() throws Exception {
    startProxyAndRequests(ProxyProcess.MEMORY_MB);
    badClients.flood(FLOODING_CLIENTS, "hello\r\n");
    sendRequests(REQUESTS);
    assertNothingLost();
  }

  @Test
  void requestsBesideAFloodOfEmptyLinesAreAnswered() throws Exception {
    startProxyAndRequests(ProxyProcess.MEMORY_MB);
    badClients.flood(FLOODING_CLIENTS, "\r\n");
    sendRequests(REQUESTS);
    assertNothingLost();
  }
}
