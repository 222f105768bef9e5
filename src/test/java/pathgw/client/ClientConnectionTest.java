package pathgw.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import pathgw.fixture.NetworkFixture;
import pathgw.transport.FakeConnection;

/** One connection of a client: commands in, responses out in their order. */
class ClientConnectionTest extends NetworkFixture {
  @Test
  void responsesAreSentInTheOrderOfCommands() {
    nodes("n1");
    FakeConnection client = client();
    client.gives(READ + "mn\r\nquit\r\n");
    assertEquals("", client.written.toString());
    dialled.get(0).gives("VA 2 Oa1\r\nhi\r\n");
    assertEquals(
        "VA 2 Oa1\r\nhi\r\nMN\r\nCLIENT_ERROR unknown command\r\n", client.written.toString());
    assertFalse(client.closed);
  }

  @Test
  void clientWhoseFramingIsLostIsSentAnErrorAndClosed() {
    for (String bytes :
        new String[] {
          "ms k 70000 Oa Pc=write\r\n",
          "ms k x Oa Pc=write\r\n",
          "ms k 2 Oa Pc=write\r\nhello\r\n",
          "ms k -1 Oa Pc=write\r\n",
          "ms k 60000000 Oa Pc=write\r\n",
          "x".repeat(3000) + "\r\n",
          "x".repeat(200_000)
        }) {
      FakeConnection client = client();
      client.gives(bytes);
      client.gives("mn\r\n" + "y".repeat(5000));
      String response = client.written.toString();
      assertTrue(
          response.startsWith("CLIENT_ERROR ") && response.indexOf('\n') == response.length() - 1,
          response);
      assertFalse(client.closed, "unread bytes would reset the connection and lose the response");
      assertTrue(
          client.endsWriting, "or the client would send another command, which would be discarded");
      after(500);
      assertTrue(client.closed);
    }
  }

  @Test
  void responsesToPipelinedCommandsAreWrittenTogether() {
    FakeConnection client = client();
    client.gives("mn\r\n".repeat(300));
    assertEquals("MN\r\n".repeat(300), client.written.toString());
    assertTrue(client.timesWritten < 30, client.timesWritten + " writes");
  }

  @Test
  void largeValueIsWrittenInPiecesAndClientThatNeverReadsIsClosed() {
    nodes("n1");
    FakeConnection socket = client();
    socket.gives(READ);
    String response = "VA 400000 Oa1\r\n" + "v".repeat(400_000) + "\r\n";
    dialled.get(0).gives(response);
    assertEquals(response, socket.written.toString());
    assertTrue(socket.timesWritten >= 6, "one write would be copied as a whole outside the heap");
    socket.full = true;
    socket.gives(READ.replace("Oa1", "Oa2"));
    dialled.get(dialled.size() - 1).gives("VA 2 Oa2\r\nhi\r\n");
    assertEquals(response.length(), socket.written.length());
    assertFalse(client.isIdle());
    socket.drains();
    assertEquals("VA 2 Oa2\r\nhi\r\n", socket.written.substring(response.length()));
    socket.full = true;
    socket.gives(READ.replace("Oa1", "Oa3"));
    dialled.get(dialled.size() - 1).gives("VA 2 Oa3\r\nhi\r\n");
    clock.skip(Duration.ofSeconds(3));
    client.closeIfStuck(Duration.ofSeconds(3));
    assertTrue(socket.closed, "unread responses take memory");
  }

  @Test
  void commandAfterMalformedWriteIsStillRead() {
    FakeConnection client = client();
    client.gives("ms k 2 Oa Pc=none\r\nmn\r\nmn\r\n");
    assertEquals("CLIENT_ERROR no known class\r\nMN\r\n", client.written.toString());
  }

  @Test
  void drainingConnectionEndsAfterItsLastResponse() {
    nodes("n1");
    FakeConnection socket = client();
    socket.gives(READ);
    client.drain();
    assertFalse(socket.endsWriting);
    socket.gives("mg k1 v Oa2 Pc=read,t=one,d=480\r\n");
    dialled.get(0).gives("VA 2 Oa1\r\nhi\r\n");
    assertEquals(
        "VA 2 Oa1\r\nhi\r\nSERVER_ERROR busy\r\n",
        socket.written.toString(),
        "commands read before the end are answered");
    assertTrue(socket.endsWriting);
    assertFalse(socket.closed, "a reset would lose the last response");
    socket.gives("mg k1 v Oa3 Pc=read,t=one,d=480\r\n");
    assertEquals(1, dialled.size(), "commands read after the end are not forwarded");
    after(500);
    assertTrue(socket.closed);
  }

  /** They were read before the drain, but not handled since too many responses were owed. */
  @Test
  void drainingConnectionAnswersCommandsThatWerePaused() {
    nodes("n1");
    FakeConnection socket = client();
    socket.gives(READ + "mn\r\n".repeat(20));
    client.drain();
    assertEquals("", socket.written.toString());
    dialled.get(0).gives("VA 2 Oa1\r\nhi\r\n");
    assertEquals("VA 2 Oa1\r\nhi\r\n" + "MN\r\n".repeat(20), socket.written.toString());
    assertTrue(socket.endsWriting);
  }

  @Test
  void incompleteCommandBeforeCloseIsNotSent() {
    nodes("n1");
    FakeConnection client = client();
    client.gives(READ.trim());
    client.breaks();
    assertEquals(0, dialled.size());
  }

  @Test
  void clientWithoutOrWithIncompleteFirstCommandIsIdle() {
    nodes("n1");
    FakeConnection socket = client();
    socket.gives("ms k 2 Oa Pc=wr");
    after(2000);
    assertFalse(
        client.idleFor(Duration.ofSeconds(2)),
        "the event loop was behind: a command may lie unread");
    after(1);
    assertTrue(client.idleFor(Duration.ofSeconds(2)));
    client();
    assertFalse(client.idleFor(Duration.ofSeconds(2)));
    assertEquals(ClientActivity.NO_COMMAND_YET, client.activity());
    FakeConnection slow = client();
    slow.gives("mn\r\n");
    clock.skip(Duration.ofMillis(1900));
    slow.gives("mg k1 v O");
    clock.skip(Duration.ofMillis(1900));
    assertFalse(client.idleFor(Duration.ofSeconds(2)), "a command that arrives slowly has begun");
  }

  /** Without this, 30 requests were lost on one recorded day after a pause of 252 ms. */
  @Test
  void clientIsNotIdleWhileEventLoopIsBehind() {
    nodes("n1");
    FakeConnection socket = client();
    socket.gives("mn\r\n");
    after(250);
    assertFalse(client.idleFor(Duration.ofMillis(100)));
    after(1);
    assertTrue(client.idleFor(Duration.ofMillis(100)));
  }
}
