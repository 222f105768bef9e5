package pathgw.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import pathgw.server.SocketFixture.Peer;

/** Tests clients that take seconds to send one command, on real sockets. */
@Timeout(30)
class SlowClientSocketTest {
  /** A client that stops in the middle of a command is owed an error or a close by then. */
  private static final long MAX_STOPPED_MS = 3000;

  private static final int PIECES = 22;

  /** Guards against a write that is cut off as idle although its client keeps sending it. */
  @Test
  void writeThatTakesOverTwoSecondsToSendIsAnswered() throws Exception {
    try (SocketFixture fixture = new SocketFixture().awaitEndpointList()) {
      Peer client = fixture.client();
      String id = fixture.id();
      String value = "v".repeat(PIECES);
      client.send("ms k" + id + " ");
      Thread.sleep(400);
      client.send(PIECES + " O" + id + " Pc=write,t=one,d=290,k=1\r\n");
      for (int i = 0; i < PIECES; i++) {
        Thread.sleep(80);
        client.send(value.substring(i, i + 1));
      }
      client.send("\r\n");
      Peer origin = fixture.origin.next();
      while (!origin.readLine().equals("\r\n")) {
        // Skip the head.
      }
      origin.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      assertEquals("HD O" + id + " cok\r\n", client.readLine());
    }
  }

  @Test
  void clientThatStopsInTheMiddleOfACommandIsClosedWithinThreeSeconds() throws Exception {
    try (SocketFixture fixture = new SocketFixture().awaitEndpointList()) {
      for (String part : new String[] {"ms k", "ms k 9 Oa1 Pc=write,d=290,k=1\r\n", "ms k 9 O"}) {
        long startNanos = System.nanoTime();
        Peer client = fixture.client().send(part);
        Thread.sleep(1200);
        if (part.endsWith("\r\n")) {
          client.send("part");
        }
        assertEquals("", client.readToEnd());
        long millis = (System.nanoTime() - startNanos) / 1_000_000;
        assertTrue(millis < MAX_STOPPED_MS, part + ": closed after " + millis + " ms");
      }
    }
  }

  /** Each byte counts as progress, but the whole command is limited too. */
  @Test
  void clientThatNeverCompletesItsCommandIsClosedWithinThreeSeconds() throws Exception {
    try (SocketFixture fixture = new SocketFixture().awaitEndpointList()) {
      Peer client = fixture.client();
      long startNanos = System.nanoTime();
      Thread writer =
          new Thread(
              () -> {
                try {
                  while (true) {
                    client.send("m");
                    Thread.sleep(100);
                  }
                } catch (Exception closed) {
                  // The proxy has closed the connection.
                }
              });
      writer.setDaemon(true);
      writer.start();
      client.readToEnd();
      long millis = (System.nanoTime() - startNanos) / 1_000_000;
      assertTrue(millis < MAX_STOPPED_MS, "closed after " + millis + " ms");
    }
  }
}
