package pathgw.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import pathgw.codec.MalformedCommandException;
import pathgw.codec.MetaCodec;
import pathgw.codec.MetaCommand;
import pathgw.decision.AttemptOutcome;
import pathgw.decision.EndpointState;
import pathgw.discovery.Endpoint;
import pathgw.transport.FakeConnection;

/** Tests the connections to one cache node and how the attempts on them end. */
class ConnectionPoolTest extends ConnectionPoolFixture {
  @Test
  void onlyAttemptsWhoseLastByteWasWrittenMayHaveRun() {
    Set<AttemptEnd> neverRan =
        Arrays.stream(AttemptEnd.values())
            .filter(e -> e.outcome().neverRan())
            .collect(Collectors.toSet());
    assertEquals(
        EnumSet.of(
            AttemptEnd.MISS,
            AttemptEnd.REJECTED,
            AttemptEnd.CONNECT_REFUSED,
            AttemptEnd.CONNECT_TIMED_OUT,
            AttemptEnd.BROKE_BEFORE_LAST_BYTE,
            AttemptEnd.TIMED_OUT_BEFORE_LAST_BYTE,
            AttemptEnd.CANCELLED_BEFORE_LAST_BYTE,
            AttemptEnd.TOO_LATE_TO_SEND,
            AttemptEnd.REQUEST_OVER,
            AttemptEnd.ENDPOINT_LEAVING,
            AttemptEnd.NOT_TRIED),
        neverRan);
    assertEquals(AttemptOutcome.CONNECTION_LOST, AttemptEnd.BROKE_AFTER_LAST_BYTE.outcome());
    assertEquals(AttemptOutcome.TIMED_OUT, AttemptEnd.TIMED_OUT.outcome());
  }

  @Test
  void requestWhoseConnectionBreaksBeforeLastByteNeverRan() throws MalformedCommandException {
    sendWithoutWriting().reset();
    assertEquals(List.of("BROKE_BEFORE_LAST_BYTE"), ends);
  }

  @Test
  void requestWhoseConnectionBreaksAfterLastByteMayHaveRun() throws MalformedCommandException {
    sendOnNewPool().reset();
    assertEquals(List.of("BROKE_AFTER_LAST_BYTE"), ends);
  }

  @Test
  void refusedConnectionReleasesItsPermit() throws MalformedCommandException {
    ConnectionLimit limit = new ConnectionLimit(1);
    pool(address -> Future.failedFuture("refused"), limit).send(attempt());
    assertEquals(List.of("CONNECT_REFUSED"), ends);
    assertTrue(limit.tryAcquire());
  }

  @Test
  void attemptEndsOnceAndCancelClosesItsConnection() throws MalformedCommandException {
    Attempt attempt = attempt();
    pool(1).send(attempt);
    attempt.cancel();
    attempt.end(AttemptEnd.ANSWERED, Buffer.buffer());
    assertEquals(List.of("CANCELLED"), ends);
    assertTrue(
        dialled.get(0).closed, "its late reply could be taken for the reply to another command");
  }

  @Test
  void attemptIsNotSentAfterItsSendTimeAndConnectionStaysOpen() throws MalformedCommandException {
    Attempt late = attempt();
    advanceMillis(60);
    pool(1).send(late);
    assertEquals(List.of("TOO_LATE_TO_SEND"), ends);
    assertEquals("", dialled.get(0).written.toString());
    assertFalse(dialled.get(0).closed, "the next request can use it");
  }

  /**
   * Otherwise the rest of a long value could reach the node after it has forgotten the idempotency
   * key.
   */
  @Test
  void attemptNotCompletelyWrittenWithinSendTimeIsCancelled() throws MalformedCommandException {
    FakeConnection connection = sendWithoutWriting();
    advanceMillis(50);
    assertEquals(List.of(), ends);
    advanceMillis(10);
    assertEquals(List.of("TIMED_OUT_BEFORE_LAST_BYTE"), ends);
    assertTrue(connection.closed);
  }

  @Test
  void attemptWithoutReplyTimesOut() throws MalformedCommandException {
    sendOnNewPool();
    advanceMillis(400);
    assertEquals(List.of("TIMED_OUT"), ends);
  }

  @Test
  void valueIsForwardedUnchangedUnderACanonicalHead() throws MalformedCommandException {
    FakeConnection node = sendOnNewPool();
    node.deliver("VA 2 Oa1 h");
    node.deliver("1\r\n\r\n");
    assertEquals(List.of(), ends);
    node.deliver("\r\n");
    endIteration();
    assertEquals(List.of("ANSWERED VA 2 Oa1\r\n\r\n\r\n"), ends);
  }

  @Test
  void replyToAnotherRequestIsAProtocolError() throws MalformedCommandException {
    sendOnNewPool().deliver("VA 2 Ob2\r\nhi\r\n");
    assertEquals(List.of("PROTOCOL_ERROR"), ends);
    assertTrue(dialled.get(0).closed);
  }

  @Test
  void repliesOfNodesMapToAttemptEnds() throws MalformedCommandException {
    for (String line :
        new String[] {"EN Oa1", "SERVER_ERROR busy", "SERVER_ERROR failed", "HD Oa1 c9", "VA x"}) {
      pool(1).send(attempt(line.startsWith("HD") ? "ms k1 1 Oa1 Pc=write" : READ));
      dialled.get(dialled.size() - 1).deliver(line + "\r\n");
    }
    assertEquals(
        List.of("MISS", "REJECTED", "FAILED", "ANSWERED HD Oa1 c9\r\n", "PROTOCOL_ERROR"), ends);
  }

  @Test
  void settledConnectionIsReusedAndExpiredOneIsClosed() throws MalformedCommandException {
    ConnectionPool pool = pool(2);
    pool.send(attempt());
    dialled.get(0).deliver("EN Oa1\r\n");
    pool.send(attempt());
    assertEquals(2, dialled.size(), "surplus bytes may follow the reply");
    dialled.get(1).deliver("EN Oa1\r\n");
    advanceMillis(2);
    pool.send(attempt());
    assertEquals(2, dialled.size(), "a settled connection is reused");
    advanceMillis(11_000);
    assertTrue(dialled.get(0).closed);
  }

  @Test
  void idleConnectionOfAnotherPoolIsClosedAtTheLimit() throws MalformedCommandException {
    ConnectionLimit limit = new ConnectionLimit(1);
    ConnectionPool one = pool(limit, MetaCodec::new);
    ConnectionPool other = pool(limit, MetaCodec::new);
    one.send(attempt());
    other.send(attempt());
    assertEquals(List.of("NOT_TRIED"), ends, "a connection in use is not closed");
    dialled.get(0).deliver("EN Oa1\r\n");
    other.send(attempt());
    assertTrue(dialled.get(0).closed);
    assertEquals(2, dialled.size());
  }

  @Test
  void decisionEngineClosesIdleConnectionsOfOneNodeOnly() throws MalformedCommandException {
    setReadyNodes("n1", "n2");
    pools.send(MetaCommand.hash("n1"), attempt());
    pools.send(MetaCommand.hash("n2"), attempt());
    dialled.get(0).deliver("EN Oa1\r\n");
    pools.send(MetaCommand.hash("n1"), attempt());
    driver.closeIdle(MetaCommand.hash("n1"));
    assertTrue(dialled.get(0).closed);
    assertFalse(dialled.get(1).closed || dialled.get(2).closed, "attempts in flight go on");
  }

  @Test
  void nodeStaysReachableAfterItsIdleConnectionsAreClosed() throws MalformedCommandException {
    setReadyNodes("n1");
    pools.send(MetaCommand.hash("n1"), attempt());
    dialled.get(0).deliver("EN Oa1\r\n");
    pools.closeIdle();
    assertTrue(dialled.get(0).closed);
    pools.send(MetaCommand.hash("n1"), attempt());
    assertEquals(2, dialled.size());
    assertEquals(List.of("MISS"), ends, "the second attempt is in flight");
  }

  /** Sends a read and returns how it ends when a node sends these pieces in one iteration. */
  private String readAnsweredBy(String... pieces) throws MalformedCommandException {
    ends.clear();
    pool(1).send(attempt());
    FakeConnection node = dialled.get(dialled.size() - 1);
    for (String piece : pieces) {
      node.deliver(piece);
    }
    runForMillis(30);
    assertTrue(node.closed, "surplus bytes would be taken for the next reply");
    assertEquals(1, ends.size());
    return ends.get(0);
  }

  /**
   * Guards against a value that is forwarded cut off: the bytes behind it may be its rest, unless
   * they are a copy of the reply.
   */
  @Test
  void valueFollowedByOtherBytesIsNotForwarded() throws MalformedCommandException {
    String reply = "VA 2 Oa1\r\nhi\r\n";
    String answered = "ANSWERED " + reply;
    assertEquals(answered, readAnsweredBy(reply + reply));
    assertEquals(answered, readAnsweredBy(reply + "VA 2 O", "a1\r\nhi\r\n" + reply));
    for (String rest : new String[] {"?", "\r\n", "ho\r\n", "VA 2 Oa1\r\nho\r\n", "VA 2 Oa1\r\n"}) {
      assertEquals("PROTOCOL_ERROR", readAnsweredBy(reply + rest), rest);
      assertEquals("PROTOCOL_ERROR", readAnsweredBy(reply, rest), rest);
      assertEquals("PROTOCOL_ERROR", readAnsweredBy(reply + reply + rest), rest);
    }
  }

  /** Their line end cannot occur within them, so what follows is not a part of them. */
  @Test
  void replyOfOneLineIsValidWhateverFollows() throws MalformedCommandException {
    assertEquals("MISS", readAnsweredBy("EN Oa1\r\n?"));
    assertEquals("REJECTED", readAnsweredBy("SERVER_ERROR busy\r\n?"));
    assertEquals("FAILED", readAnsweredBy("SERVER_ERROR failed\r\n?"));
    ends.clear();
    pool(1).send(attempt("ms k1 1 Oa1 Pc=write"));
    dialled.get(dialled.size() - 1).deliver("HD Oa1 c9\r\n?");
    assertEquals(List.of("ANSWERED HD Oa1 c9\r\n"), ends);
  }

  @Test
  void valueIsForwardedWhenItsConnectionEndsBehindIt() throws MalformedCommandException {
    FakeConnection node = sendOnNewPool();
    node.deliver("VA 2 Oa1\r\nhi\r\n");
    node.ends();
    assertEquals(List.of("ANSWERED VA 2 Oa1\r\nhi\r\n"), ends);
  }

  @Test
  void connectionWithSurplusBytesIsClosed() throws MalformedCommandException {
    pool(1).send(attempt());
    FakeConnection node = dialled.get(dialled.size() - 1);
    node.deliver("EN Oa1\r\n");
    assertFalse(node.closed);
    node.deliver("?");
    assertTrue(node.closed, "surplus bytes may also arrive after the reply");
  }

  @Test
  void replyThatStallsHalfWayIsAProtocolError() throws MalformedCommandException {
    FakeConnection node = sendOnNewPool();
    node.deliver("VA 9 Oa1\r\nhi");
    advanceMillis(100);
    node.deliver("ho");
    advanceMillis(100);
    assertEquals(List.of(), ends);
    advanceMillis(100);
    assertEquals(List.of("PROTOCOL_ERROR"), ends);
    assertTrue(node.closed);
  }

  @Test
  void replyOfWrongKindOrCutOffIsNotForwarded() throws MalformedCommandException {
    sendOnNewPool().deliver("HD Oa1 c9\r\n");
    pool(1).send(attempt());
    dialled.get(1).deliver("VA 2 Oa1\r\nhi\r");
    dialled.get(1).reset();
    assertEquals(List.of("PROTOCOL_ERROR", "BROKE_AFTER_LAST_BYTE"), ends);
  }

  @Test
  void connectionOfRemovedNodeIsClosedAfterItsAttempt() throws MalformedCommandException {
    setReadyNodes("n1");
    pools.send(MetaCommand.hash("n1"), attempt());
    pools.remove(MetaCommand.hash("n1"));
    dialled.get(0).deliver("EN Oa1\r\n");
    assertEquals(List.of("MISS"), ends, "the attempt in flight is completed");
    assertTrue(dialled.get(0).closed);
  }

  @Test
  void idleConnectionsAreClosedWhenTheirNodeRestarts() throws MalformedCommandException {
    setReadyNodes("n1");
    pools.send(MetaCommand.hash("n1"), attempt());
    dialled.get(0).deliver("EN Oa1\r\n");
    pools.update(new Endpoint("n1", TEST_ADDRESS, EndpointState.READY, 7, 0, 0, 0));
    assertTrue(dialled.get(0).closed);
  }
}
