package pathgw.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import pathgw.server.SocketFixture.Peer;

/** Tests responses of nodes and the origin that are truncated or late, on real sockets. */
@Timeout(30)
class TruncatedResponseSocketTest {
  private static final String ORIGIN = "HTTP/1.1 200 OK\r\n";

  private static void skipHead(Peer origin) throws Exception {
    while (!origin.readLine().equals("\r\n")) {
      // Skip the head.
    }
  }

  /** Sends a read that is a miss at the node; returns the origin's end of the connection. */
  private static Peer awaitAtOrigin(SocketFixture fixture, Peer client, String id)
      throws Exception {
    Peer nodePeer = fixture.sendAndAwaitAtNode(client, id);
    nodePeer.send("EN O" + id + "\r\n");
    Peer origin = fixture.origin.next();
    skipHead(origin);
    return origin;
  }

  @Test
  void originResponseWithoutLengthThatIsResetIsNotDelivered() throws Exception {
    try (SocketFixture fixture = new SocketFixture().awaitEndpointList()) {
      Peer client = fixture.client();
      Peer origin = awaitAtOrigin(fixture, client, fixture.id());
      fixture.whileLoopBlocked(
          0,
          () -> {
            origin.send(ORIGIN + "\r\nhalf of wh");
            origin.reset();
          });
      Peer retry = fixture.origin.next();
      skipHead(retry);
      retry.send(ORIGIN + "\r\nwhole");
      retry.socket.close();
      assertTrue(client.readLine().startsWith("VA 5 "));
      assertEquals("whole\r\n", client.readLine());
    }
  }

  /** Guards against a value that is forwarded cut off: its length is too short, its rest late. */
  @Test
  void originResponseLongerThanItsLengthIsNotDelivered() throws Exception {
    try (SocketFixture fixture = new SocketFixture().awaitEndpointList()) {
      Peer client = fixture.client();
      Peer origin = awaitAtOrigin(fixture, client, fixture.id());
      origin.send(ORIGIN + "Content-Length: 4\r\n\r\ncut ");
      Thread.sleep(3);
      origin.send("off");
      Peer retry = fixture.origin.next();
      skipHead(retry);
      retry.send(ORIGIN + "Content-Length: 5\r\n\r\nwhole");
      assertTrue(client.readLine().startsWith("VA 5 "));
      assertEquals("whole\r\n", client.readLine());
    }
  }

  /** The duplicate arrives when the connection would be reused for the next request. */
  @Test
  void duplicateOriginResponseIsNotTakenForNextRequest() throws Exception {
    try (SocketFixture fixture = new SocketFixture().awaitEndpointList()) {
      Peer client = fixture.client();
      Peer origin = awaitAtOrigin(fixture, client, fixture.id());
      origin.send(ORIGIN + "Content-Length: 3\r\n\r\none");
      assertTrue(client.readLine().startsWith("VA 3 "));
      assertEquals("one\r\n", client.readLine());
      Thread.sleep(5);
      String next = fixture.id();
      Peer other = fixture.client();
      other.send(SocketFixture.write(next));
      Peer second = fixture.origin.next();
      skipHead(second);
      origin.send(ORIGIN + "Content-Length: 3\r\n\r\none");
      second.send(ORIGIN + "Content-Length: 3\r\n\r\ntwo");
      assertEquals("HD O" + next + " ctwo\r\n", other.readLine());
    }
  }

  @Test
  void truncatedNodeResponseIsNotDelivered() throws Exception {
    try (SocketFixture fixture = new SocketFixture().awaitEndpointList()) {
      Peer client = fixture.client();
      String id = fixture.id();
      Peer nodePeer = fixture.sendAndAwaitAtNode(client, id);
      fixture.whileLoopBlocked(
          0,
          () -> {
            nodePeer.send("VA 2 O" + id + "\r\nh");
            nodePeer.socket.close();
          });
      Peer retry = fixture.node.poll();
      // With one node, a retry can go only there, so the client must not receive a value.
      String received = client.readLine();
      assertFalse(received.startsWith("VA"), received + (retry == null ? "" : ", retried"));
    }
  }
}
