package pathgw.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import pathgw.client.ClientCloseReason;
import pathgw.client.ClientCloseSummary;
import pathgw.fixture.NetworkFixture;
import pathgw.transport.FakeConnection;

/** Tests what the log says of a client connection that was closed. */
class ClientCloseLogTest extends NetworkFixture {
  @Test
  void summaryNamesCommandsAndBytesThatTheCloseDropped() {
    setReadyNodes("n1");
    FakeConnection socket = client();
    socket.deliver(READ + "mg k");
    assertEquals(4, client.heldBytes());
    socket.reset();
    assertEquals(
        "client 127.0.0.1:1 connection closed: CLIENT_LEFT, unanswered commands 1, unsent bytes 0,"
            + " undelivered bytes 0, bytes discarded after the end 0",
        client.closeSummary().toString());
  }

  @Test
  void onlyClosesByTheProxyOverCommandsOrResponsesAreLosses() {
    assertTrue(summary(ClientCloseReason.EVICTED, 0, 0, 7).isLossByProxy());
    assertTrue(summary(ClientCloseReason.IDLE, 0, 7, 0).isLossByProxy());
    assertTrue(summary(ClientCloseReason.RESPONSES_UNREAD, 1, 0, 0).isLossByProxy());
    assertFalse(summary(ClientCloseReason.SHUTDOWN, 0, 0, 0).isLossByProxy());
    assertFalse(summary(ClientCloseReason.CLIENT_LEFT, 1, 7, 7).isLossByProxy());
  }

  private static ClientCloseSummary summary(
      ClientCloseReason reason, int unanswered, long unsent, long undelivered) {
    return new ClientCloseSummary("a:1", reason, unanswered, unsent, undelivered, 0);
  }
}
