package pathgw.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import pathgw.codec.MetaCommand;
import pathgw.fixture.NetworkFixture;
import pathgw.transport.FakeConnection;

/** Tests what becomes of commands and responses for which there is no memory. */
class ClientMemoryTest extends NetworkFixture {
  private static final String READINESS_RESPONSE = "MN\r\n";

  /** The last responses from which the length of the next one is estimated. */
  private static final double RESPONSES_IN_ESTIMATE = 32;

  /** Waits until a draining connection that owes nothing has found that nothing is unread. */
  private void awaitEnd() {
    runForMillis(50);
  }

  @Test
  void valueOfAClientThatStopsIsDroppedOnceMemoryIsUsedUpAndItsCommandRejected() {
    FakeConnection stopped = client();
    stopped.deliver("mn\r\nms k 65536 Oa Pc=write,t=one,d=300\r\n" + "v".repeat(40_000));
    ClientConnection stoppedClient = client;
    advanceMillis(200);
    for (long held = 40_000; held < CLIENT_MEMORY_BYTES; held += 40_000) {
      client().deliver("ms k 65536 Oa Pc=write,t=one,d=300\r\n" + "v".repeat(40_000));
    }
    assertEquals(0, stoppedClient.heldBytes());
    assertTrue(memory.totalBytes() <= CLIENT_MEMORY_BYTES);
    assertEquals(READINESS_RESPONSE, stopped.written.toString());
    stopped.deliver("v".repeat(25_536) + "\r\nmn\r\n");
    assertEquals(
        READINESS_RESPONSE + "SERVER_ERROR busy 1500\r\n" + READINESS_RESPONSE,
        stopped.written.toString(),
        "the commands behind it were accepted");
    assertFalse(stopped.outputShutDown);
    client.closeIfClientLeft();
  }

  /** Guards against complete commands that use up the heap while they wait for the origin. */
  @Test
  void writeForWhichThereIsNoMemoryIsRejectedAndTheCommandBehindItIsRead() {
    FakeConnection socket = client();
    memory.add(CLIENT_MEMORY_BYTES);
    String write = "ms k 65536 Oa Pc=write,t=one,d=300\r\n";
    socket.deliver(write + "v".repeat(10_000));
    assertTrue(client.readingPaused(), "it waits for memory");
    assertFalse(client.isIdle(), "it could be evicted");
    advanceMillis(100);
    assertEquals(0, client.heldBytes());
    socket.deliver("v".repeat(55_536) + "\r\nmn\r\n");
    assertEquals("SERVER_ERROR busy 1500\r\nMN\r\n", socket.written.toString());
    assertEquals(CLIENT_MEMORY_BYTES, memory.totalBytes());
    socket.deliver(write + "v".repeat(65_537) + "\n");
    assertTrue(socket.written.toString().endsWith("CLIENT_ERROR value without its end\r\n"));
  }

  @Test
  void writeThatWaitsForMemoryIsReadOnceItIsFree() {
    setReadyNodes("n1");
    FakeConnection socket = client();
    memory.add(CLIENT_MEMORY_BYTES);
    socket.deliver("ms k 65536 Oa Pc=write,t=one,d=300\r\n" + "v".repeat(65_536) + "\r\n" + READ);
    assertTrue(client.readingPaused());
    advanceMillis(40);
    memory.release(CLIENT_MEMORY_BYTES);
    advanceMillis(1);
    assertFalse(client.readingPaused());
    assertEquals(1, attemptCount(), "the read behind it");
    assertTrue(memory.totalBytes() < 80_000, "the write is counted once");
  }

  @Test
  void writeThatWaitsForMemoryIsRejectedWhenItsConnectionIsDrained() {
    FakeConnection socket = client();
    memory.add(CLIENT_MEMORY_BYTES);
    socket.deliver("ms k 65536 Oa Pc=write,t=one,d=300\r\n" + "v".repeat(65_536) + "\r\nmn\r\n");
    client.drain(ClientCloseReason.SHUTDOWN);
    assertEquals("SERVER_ERROR busy\r\nMN\r\n", socket.written.toString());
    awaitEnd();
    assertTrue(socket.outputShutDown);
    assertEquals(CLIENT_MEMORY_BYTES, memory.totalBytes());
  }

  @Test
  void readForWhichThereIsNoMemoryIsRejected() {
    setReadyNodes("n1");
    FakeConnection socket = client();
    memory.add(CLIENT_MEMORY_BYTES);
    socket.deliver(READ);
    assertEquals("SERVER_ERROR busy 1500\r\n", socket.written.toString());
    memory.release(CLIENT_MEMORY_BYTES);
    socket.deliver(READ);
    assertEquals(1, attemptCount());
  }

  /** Guards against responses that fill the heap while their clients do not read. */
  @Test
  void responsesThatHaveNotBegunAreFailedOnceMemoryIsUsedUp() {
    setReadyNodes("n1", "n2");
    FakeConnection socket = client();
    socket.deliver(READ + READ.replace("Oa1", "Oa2"));
    socket.unsentBytes = 1 << 16;
    FakeConnection first = nodeOf("Oa1");
    FakeConnection second = nodeOf("Oa2");
    second.deliver("VA 60000 Oa2\r\n" + "v".repeat(60_000) + "\r\n");
    endIteration();
    assertTrue(client.heldBytes() > 60_000, "it waits for the first");
    memory.add(CLIENT_MEMORY_BYTES - 70_000);
    advanceMillis(200);
    FakeConnection other = client();
    other.deliver("ms k 30000 Ob Pc=write,t=one,d=300\r\n" + "v".repeat(20_000));
    other.deliver("v".repeat(10_000) + "\r\n");
    socket.unsentBytes = 0;
    first.deliver("VA 2 Oa1\r\nhi\r\n");
    endIteration();
    endIteration();
    assertEquals("VA 2 Oa1\r\nhi\r\nSERVER_ERROR failed\r\n", socket.written.toString());
  }

  private FakeConnection nodeOf(String id) {
    return dialled.stream()
        .filter(node -> node.written.toString().contains(id))
        .findFirst()
        .orElseThrow();
  }

  @Test
  void memoryOfARequestIsHeldUntilItsLastAttemptHasEnded() {
    setReadyNodes("n1");
    FakeConnection socket = client();
    socket.deliver(READ);
    long held = memory.totalBytes();
    assertTrue(held > READ.length(), "the objects of a request take more than its command");
    String response = "VA 2 Oa1\r\nhi\r\n";
    dialled.get(0).deliver(response);
    endIteration();
    assertEquals(0, memory.totalBytes());
    socket.deliver(READ);
    int unexpectedBytes = MetaCommand.MAX_STORED_VALUE_BYTES - response.length();
    long lessExpected = Math.round(unexpectedBytes / RESPONSES_IN_ESTIMATE);
    assertEquals(held - lessExpected, memory.totalBytes(), "a shorter response is expected");
    socket.reset();
    assertEquals(0, memory.totalBytes(), "the attempt is cancelled");
  }
}
