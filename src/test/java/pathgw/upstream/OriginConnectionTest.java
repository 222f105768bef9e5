package pathgw.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import pathgw.codec.HttpOriginCodec;
import pathgw.codec.MalformedCommandException;
import pathgw.codec.MetaCommand;
import pathgw.transport.FakeConnection;

/** Tests attempts that are sent to the origin over HTTP. */
class OriginConnectionTest extends ConnectionPoolFixture {
  private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

  /**
   * Sends an attempt and returns how the given response ends it, followed by "closed" if its
   * connection was closed.
   */
  private String attemptAtOrigin(String command, String response) throws MalformedCommandException {
    pool(new ConnectionLimit(1), () -> new HttpOriginCodec(TEST_ADDRESS)).send(attempt(command));
    FakeConnection connection = dialled.get(dialled.size() - 1);
    connection.deliver(response);
    return (ends.isEmpty() ? "nothing" : ends.remove(0)) + (connection.closed ? " closed" : "");
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
    assertEquals(value + " closed", attemptAtOrigin(READ, OK + "noise"));
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

  @Test
  void chunkedResponseIsDecoded() throws MalformedCommandException {
    String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    assertEquals(
        "ANSWERED VA 4 Oa1\r\nhi\r\n\r\n",
        attemptAtOrigin(READ, head + "1;x\r\nh\r\n3\r\ni\r\n\r\n0\r\nT: x\r\n\r\n"));
    assertEquals(
        "PROTOCOL_ERROR closed",
        attemptAtOrigin(READ, head + "5\r\nabcde\r\nzz\r\nabcde\r\n0\r\n\r\n"));
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
    assertEquals(
        "PROTOCOL_ERROR closed", attemptAtOrigin("ms k 1 Ob2 Pc=write", OK.replace("hi", "\r\n")));
  }
}
