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
  void answersComeInTheOrderOfCommands() {
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
  void outOfStepAClientIsToldAndClosed() {
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
      String told = client.written.toString();
      assertTrue(told.startsWith("CLIENT_ERROR ") && told.indexOf('\n') == told.length() - 1, told);
      assertFalse(client.closed, "what it still sends would reset it, and the line be lost");
      assertTrue(client.endsWriting, "or it would be asked again, and the command be thrown away");
      after(500);
      assertTrue(client.closed);
    }
  }

  @Test
  void hundredsOfCommandsAtOnceAreAnsweredInFewWrites() {
    FakeConnection client = client();
    client.gives("mn\r\n".repeat(300));
    assertEquals("MN\r\n".repeat(300), client.written.toString());
    assertTrue(client.timesWritten < 30, client.timesWritten + " writes");
  }

  @Test
  void aLargeValueGoesOnInPiecesAsTheClientReads() {
    nodes("n1");
    FakeConnection socket = client();
    socket.gives(READ);
    String answer = "VA 400000 Oa1\r\n" + "v".repeat(400_000) + "\r\n";
    dialled.get(0).gives(answer);
    assertEquals(answer, socket.written.toString());
    assertTrue(socket.timesWritten >= 6, "in one it would be kept whole outside the heap");
    socket.full = true;
    socket.gives(READ.replace("Oa1", "Oa2"));
    dialled.get(dialled.size() - 1).gives("VA 2 Oa2\r\nhi\r\n");
    assertEquals(answer.length(), socket.written.length());
    assertFalse(client.idle());
    socket.drains();
    assertEquals("VA 2 Oa2\r\nhi\r\n", socket.written.substring(answer.length()));
    socket.full = true;
    socket.gives(READ.replace("Oa1", "Oa3"));
    dialled.get(dialled.size() - 1).gives("VA 2 Oa3\r\nhi\r\n");
    nanos += Duration.ofSeconds(3).toNanos();
    client.cutOffIfStuck(Duration.ofSeconds(3));
    assertTrue(socket.closed, "what is never read takes memory");
  }

  @Test
  void aMalformedWriteKeepsItsConnectionInStep() {
    FakeConnection client = client();
    client.gives("ms k 2 Oa Pc=none\r\nmn\r\nmn\r\n");
    assertEquals("CLIENT_ERROR no known class\r\nMN\r\n", client.written.toString());
  }

  @Test
  void atTheStopAConnectionEndsBehindItsLastAnswer() {
    nodes("n1");
    FakeConnection socket = client();
    socket.gives(READ);
    client.endBetweenCommands();
    assertFalse(socket.endsWriting);
    socket.gives("mg k1 v Oa2 Pc=read,t=one,d=480\r\n");
    dialled.get(0).gives("VA 2 Oa1\r\nhi\r\n");
    assertEquals(
        "VA 2 Oa1\r\nhi\r\nSERVER_ERROR busy\r\n",
        socket.written.toString(),
        "what is read before the end is answered");
    assertTrue(socket.endsWriting);
    assertFalse(socket.closed, "a reset would take the last answer along");
    socket.gives("mg k1 v Oa3 Pc=read,t=one,d=480\r\n");
    assertEquals(1, dialled.size(), "what is read after the end is not sent on");
    after(500);
    assertTrue(socket.closed);
  }

  /** Read and held back, since as many are owed answers: it has been taken all the same. */
  @Test
  void atTheStopWhatIsHeldBackIsAnsweredToo() {
    nodes("n1");
    FakeConnection socket = client();
    socket.gives(READ + "mn\r\n".repeat(20));
    client.endBetweenCommands();
    assertEquals("", socket.written.toString());
    dialled.get(0).gives("VA 2 Oa1\r\nhi\r\n");
    assertEquals("VA 2 Oa1\r\nhi\r\n" + "MN\r\n".repeat(20), socket.written.toString());
    assertTrue(socket.endsWriting);
  }

  @Test
  void halfACommandAndACloseIsNoCommand() {
    nodes("n1");
    FakeConnection client = client();
    client.gives(READ.trim());
    client.breaks();
    assertEquals(0, dialled.size());
  }

  @Test
  void whoSaysNothingOrHalfACommandIsIdle() {
    nodes("n1");
    FakeConnection socket = client();
    socket.gives("ms k 2 Oa Pc=wr");
    after(2000);
    assertFalse(client.idleFor(Duration.ofSeconds(2)), "the loop stood still: more may lie unread");
    after(1);
    assertTrue(client.idleFor(Duration.ofSeconds(2)));
    client();
    assertFalse(client.idleFor(Duration.ofSeconds(2)));
    assertEquals(1, client.standing());
    FakeConnection slow = client();
    slow.gives("mn\r\n");
    nanos += Duration.ofMillis(1900).toNanos();
    slow.gives("mg k1 v O");
    nanos += Duration.ofMillis(1900).toNanos();
    assertFalse(client.idleFor(Duration.ofSeconds(2)), "what comes slowly has begun");
  }

  /** 30 requests of one recorded day were lost so: the loop had been stopped for 252 ms. */
  @Test
  void whoseCommandMayLieUnreadIsNotClosedAsIdle() {
    nodes("n1");
    FakeConnection socket = client();
    socket.gives("mn\r\n");
    after(250);
    assertFalse(client.idleFor(Duration.ofMillis(100)));
    after(1);
    assertTrue(client.idleFor(Duration.ofMillis(100)));
  }
}
