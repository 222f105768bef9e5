package pathgw.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import pathgw.codec.HttpOriginCodec;
import pathgw.codec.MalformedCommandException;
import pathgw.codec.MetaCommand;
import pathgw.transport.FakeConnection;

/** Tests attempts that are sent to the origin over HTTP. */
class OriginConnectionTest extends ConnectionPoolFixture {
  private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

  private static final String WRITE = "ms k 1 Ob2 Pc=write";
  private static final String CHUNKED_HEAD =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  /** The time for which a response is held back, to see whether anything follows it. */
  private static final int QUIET_MS = 8;

  private FakeConnection sendToOrigin(String command) throws MalformedCommandException {
    pool(new ConnectionLimit(1), () -> new HttpOriginCodec(TEST_ADDRESS)).send(attempt(command));
    return dialled.get(dialled.size() - 1);
  }

  /**
   * Sends an attempt and returns how a response in these pieces ends it, followed by "closed" if
   * its connection was closed. The pieces arrive at intervals of 5 ms.
   */
  private String attemptAtOrigin(String command, String... pieces)
      throws MalformedCommandException {
    FakeConnection connection = sendToOrigin(command);
    for (String piece : pieces) {
      advanceMillis(5);
      if (!connection.closed) {
        connection.deliver(piece);
      }
    }
    advanceMillis(QUIET_MS);
    return (ends.isEmpty() ? "nothing" : ends.remove(0)) + (connection.closed ? " closed" : "");
  }

  /** Guards against heads that take memory which is not counted. */
  @Test
  void headsOfManyHeadersAreCountedAndLongOnesAreMalformed() throws Exception {
    FakeConnection connection = sendToOrigin("mg k1 v Oa1 Pc=read");
    connection.deliver("HTTP/1.1 200 OK\r\n");
    for (int i = 0; i < 60; i++) {
      connection.deliver("x" + i + ":\r\n");
    }
    assertTrue(memory.totalBytes() > 60 * 100, memory.totalBytes() + " bytes");
    String header = ": " + "v".repeat(8000) + "\r\n";
    assertEquals(
        "PROTOCOL_ERROR closed",
        attemptAtOrigin(
            "mg k1 v Oa2 Pc=read",
            "HTTP/1.1 200 OK\r\na" + header + "b" + header + "c" + header + "d" + header,
            "e" + header));
  }

  @Test
  void largestOfManyEndlessResponsesIsGivenUpOnceMemoryIsUsedUp() throws Exception {
    ConnectionLimit limit = new ConnectionLimit(8);
    for (int i = 0; i < 8; i++) {
      pool(limit, () -> new HttpOriginCodec(TEST_ADDRESS)).send(attempt());
      dialled.get(i).deliver("HTTP/1.1 200 OK\r\n\r\n");
    }
    for (int round = 0; round < 50 && ends.isEmpty(); round++) {
      for (int i = 0; i < 8; i++) {
        dialled.get(i).deliver("x".repeat(i == 3 ? 20_000 : 10_000));
      }
    }
    assertEquals(List.of("PROTOCOL_ERROR"), ends);
    assertTrue(dialled.get(3).closed);
    assertTrue(memory.totalBytes() <= CLIENT_MEMORY_BYTES);
  }

  @Test
  void readsAndWritesAreSentToOriginAsHttpRequests() throws MalformedCommandException {
    assertEquals("ANSWERED VA 2 Oa1\r\nhi\r\n", attemptAtOrigin(READ, OK));
    assertEquals(
        "GET /k1 HTTP/1.1\r\nHost: 127.0.0.1:1\r\nX-Txn: a1\r\n"
            + "X-Labels: c=read,t=one,d=400\r\n\r\n",
        dialled.get(0).written.toString());
    assertEquals("ANSWERED HD Ob2 chi\r\n", attemptAtOrigin("ms k/ 1 Ob2 Pc=write", OK));
    assertEquals(
        "PUT /k%2F HTTP/1.1\r\nHost: 127.0.0.1:1\r\nX-Txn: b2\r\nX-Labels: c=write\r\n"
            + "Content-Length: 1\r\n\r\nv",
        dialled.get(1).written.toString());
    assertEquals(
        "REJECTED",
        attemptAtOrigin(READ, "HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"));
    assertEquals("FAILED", attemptAtOrigin(READ, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"));
  }

  @Test
  void interimResponsesAreSkippedAndSurplusBytesCloseConnection() throws MalformedCommandException {
    String value = "ANSWERED VA 2 Oa1\r\nhi\r\n";
    assertEquals(
        value,
        attemptAtOrigin(
            READ,
            "HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 102 Wait\r\n\r\n"
                + "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n"
                + OK));
    assertEquals("nothing", attemptAtOrigin(READ, "HTTP/1.1 102 Wait\r\n\r\n"));
    assertEquals(
        value + " closed",
        attemptAtOrigin(READ, OK + OK),
        "a second copy would be taken for the next response");
    assertEquals(value + " closed", attemptAtOrigin(READ, OK, "HTTP/1.1 200 O", OK.substring(14)));
  }

  /**
   * Guards against a value or receipt that is forwarded cut off, because its declared length is too
   * short. The rest then follows the response, in one piece with it or some milliseconds later.
   */
  @Test
  void responseWhoseLengthIsTooShortIsNotForwarded() throws MalformedCommandException {
    for (String command : new String[] {READ, WRITE}) {
      for (String rest :
          new String[] {
            "!", "noise", "\r\n", "HTTP/1.1", "x".repeat(3000), OK.replace("hi", "ho")
          }) {
        String expected = "PROTOCOL_ERROR closed";
        assertEquals(expected, attemptAtOrigin(command, OK + rest), rest);
        assertEquals(expected, attemptAtOrigin(command, OK, rest), rest);
        assertEquals(expected, attemptAtOrigin(command, OK + rest + OK), rest);
        assertEquals(expected, attemptAtOrigin(command, OK, OK, rest), rest);
      }
      String empty = OK.replace("2\r", "0\r");
      assertEquals("PROTOCOL_ERROR closed", attemptAtOrigin(command, empty));
    }
  }

  /** The bytes of the second copy fill up the declared length. */
  @Test
  void responseWhoseLengthIsTooLongIsNotForwardedWithBytesOfACopy()
      throws MalformedCommandException {
    assertEquals("PROTOCOL_ERROR closed", attemptAtOrigin(READ, OK.replace("2\r", "6\r") + OK));
    assertEquals("PROTOCOL_ERROR closed", attemptAtOrigin(READ, OK.replace("2\r", "6\r"), OK));
  }

  @Test
  void chunkedResponseWithAnEarlyEndIsNotForwarded() throws MalformedCommandException {
    String cut = CHUNKED_HEAD + "2\r\nhi\r\n0\r\n\r\n";
    assertEquals("PROTOCOL_ERROR closed", attemptAtOrigin(READ, cut + "rest\r\n0\r\n\r\n"));
    assertEquals("ANSWERED VA 2 Oa1\r\nhi\r\n closed", attemptAtOrigin(READ, cut + cut));
    String restAsTrailer = CHUNKED_HEAD + "2\r\nhi\r\n0\r\nrest\r\n\r\n";
    assertEquals("PROTOCOL_ERROR closed", attemptAtOrigin(READ, restAsTrailer));
  }

  @Test
  void responseIsForwardedOnceNothingHasFollowedItForAWhile() throws MalformedCommandException {
    FakeConnection connection = sendToOrigin(READ);
    connection.deliver(OK);
    advanceMillis(QUIET_MS - 1);
    assertEquals(List.of(), ends);
    advanceMillis(1);
    assertEquals(List.of("ANSWERED VA 2 Oa1\r\nhi\r\n"), ends);
  }

  @Test
  void bytesThatArrivedDuringABlockOfTheEventLoopAreReadBeforeAResponseIsForwarded()
      throws MalformedCommandException {
    measureLag();
    FakeConnection connection = sendToOrigin(READ);
    connection.deliver(OK);
    clock.skip(Duration.ofMillis(100));
    advanceMillis(0);
    connection.deliver("rest");
    runForMillis(50);
    assertEquals(List.of("PROTOCOL_ERROR"), ends);
  }

  /** Nothing can follow the end of a stream, but a reset may have destroyed what followed. */
  @Test
  void responseWithALengthIsCompleteAtEndOfStreamButNotAfterAReset()
      throws MalformedCommandException {
    FakeConnection ended = sendToOrigin(READ);
    ended.deliver(OK);
    ended.ends();
    FakeConnection reset = sendToOrigin(READ);
    reset.deliver(OK);
    reset.reset();
    FakeConnection longer = sendToOrigin(READ);
    longer.deliver(OK + "re");
    longer.ends();
    FakeConnection shorter = sendToOrigin(READ);
    shorter.deliver(OK.replace("2\r", "3\r"));
    shorter.ends();
    assertEquals(
        List.of(
            "ANSWERED VA 2 Oa1\r\nhi\r\n",
            "BROKE_AFTER_LAST_BYTE",
            "BROKE_AFTER_LAST_BYTE",
            "BROKE_AFTER_LAST_BYTE"),
        ends);
  }

  @Test
  void responseThatIsHeldBackEndsOnceWhateverEndsItsWait() throws MalformedCommandException {
    Attempt cancelled = attempt(READ);
    pool(new ConnectionLimit(1), () -> new HttpOriginCodec(TEST_ADDRESS)).send(cancelled);
    dialled.get(0).deliver(OK);
    cancelled.cancel();
    ConnectionPool retired = pool(new ConnectionLimit(1), () -> new HttpOriginCodec(TEST_ADDRESS));
    retired.send(attempt(READ));
    dialled.get(1).deliver(OK);
    retired.retire();
    FakeConnection timedOut = sendToOrigin(READ);
    advanceMillis(QUIET_MS);
    advanceMillis(400 - QUIET_MS - 1);
    timedOut.deliver(OK);
    advanceMillis(1);
    advanceMillis(QUIET_MS);
    assertEquals(List.of("CANCELLED", "ANSWERED VA 2 Oa1\r\nhi\r\n", "TIMED_OUT"), ends);
    assertTrue(dialled.get(0).closed && dialled.get(1).closed && timedOut.closed);
  }

  /** Its result stands in the head, whose end is a line end. */
  @Test
  void errorIsValidWhateverFollows() throws MalformedCommandException {
    String busy = "HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";
    assertEquals("REJECTED closed", attemptAtOrigin(READ, busy + "rest"));
    assertEquals("FAILED closed", attemptAtOrigin(READ, busy.replace("503", "500") + "rest"));
  }

  /** After a reset a body without a length may be incomplete. */
  @Test
  void responseWithoutLengthIsCompleteOnlyAtEndOfStream() throws MalformedCommandException {
    String head = "HTTP/1.1 200 OK\r\nX-Txn: a1\r\n\r\n";
    assertEquals("nothing", attemptAtOrigin(READ, head + "h"));
    dialled.get(0).deliver("i");
    dialled.get(0).ends();
    assertEquals(List.of("ANSWERED VA 2 Oa1\r\nhi\r\n"), ends);
    ends.clear();
    assertEquals("nothing", attemptAtOrigin(READ, head + "hi"));
    dialled.get(1).reset();
    assertEquals(List.of("BROKE_AFTER_LAST_BYTE"), ends);
    ends.clear();
    assertEquals("nothing", attemptAtOrigin(READ, head.replace("\r\n\r\n", "\r\n")));
    dialled.get(2).ends();
    assertEquals(List.of("BROKE_AFTER_LAST_BYTE"), ends, "its head was incomplete");
    ends.clear();
    assertEquals(
        "REJECTED closed", attemptAtOrigin(READ, "HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\n\r\n"));
    assertEquals(
        "PROTOCOL_ERROR closed",
        attemptAtOrigin(READ, head + "x".repeat(MetaCommand.MAX_RECEIVED_VALUE_BYTES + 1)));
    assertEquals(
        "ANSWERED VA 2 Oa1\r\nhi\r\n closed",
        attemptAtOrigin(READ, OK.replace("Con", "Connection: close\r\nCon")),
        "the origin announced the close");
  }

  /** Guards against good responses that are taken for malformed because of a long header. */
  @Test
  void headerLinesAreAcceptedUpToEightKibibytes() throws MalformedCommandException {
    String note = "X-Note: " + "n".repeat(8192 - "X-Note: ".length());
    assertEquals(
        "ANSWERED VA 2 Oa1\r\nhi\r\n", attemptAtOrigin(READ, OK.replace("Con", note + "\r\nCon")));
    assertEquals(
        "PROTOCOL_ERROR closed", attemptAtOrigin(READ, OK.replace("Con", note + "n\r\nCon")));
  }

  @Test
  void chunkedResponseIsDecoded() throws MalformedCommandException {
    assertEquals(
        "ANSWERED VA 4 Oa1\r\nhi\r\n\r\n",
        attemptAtOrigin(READ, CHUNKED_HEAD + "1;x\r\nh\r\n3\r\ni\r\n\r\n0\r\nT: x\r\n\r\n"));
    assertEquals(
        "PROTOCOL_ERROR closed",
        attemptAtOrigin(READ, CHUNKED_HEAD + "5\r\nabcde\r\nzz\r\nabcde\r\n0\r\n\r\n"));
  }

  @Test
  void malformedResponseIsNotForwarded() throws MalformedCommandException {
    for (String response :
        new String[] {
          "noise\r\n\r\n",
          OK.replace("2\r", "-2\r"),
          OK.replace("2\r", "x\r"),
          OK.replace("Con", "no colon here\r\nCon"),
          OK.replace("Con", "Content-Length: 2\r\nCon"),
          OK.replace("200", "2x0"),
          OK.replace("Content-Length: 2", "Transfer-Encoding: chunked") + "\r\n",
          OK.replace("2\r", "3000000000\r") + "x".repeat(1_100_000),
          OK.replace("Con", "X-Txn: b2\r\nCon")
        }) {
      assertEquals(
          "PROTOCOL_ERROR closed", attemptAtOrigin(READ, response), response.substring(0, 9));
    }
    assertEquals("PROTOCOL_ERROR closed", attemptAtOrigin(WRITE, OK.replace("hi", "\r\n")));
  }
}
