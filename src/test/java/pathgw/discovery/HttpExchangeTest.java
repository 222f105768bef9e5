package pathgw.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import pathgw.config.Address;
import pathgw.transport.FakeConnection;

/** Tests the parsing of responses to one HTTP GET, which arrive one byte at a time. */
class HttpExchangeTest {
  private static final String HEAD = "HTTP/1.1 200 OK\r\n\r\n";
  private static final String CHUNKED_HEAD =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final CallEnd COMPLETE = CallEnd.of(CallEnd.Reason.COMPLETE);
  private static final CallEnd CONNECTION_LOST = CallEnd.of(CallEnd.Reason.CONNECTION_LOST);
  private static final CallEnd INVALID_CHUNK = CallEnd.of(CallEnd.Reason.INVALID_CHUNK);

  private final List<String> lines = new ArrayList<>();
  private final List<CallEnd> ends = new ArrayList<>();
  private final FakeConnection connection = new FakeConnection();
  private final HttpExchange exchange =
      new HttpExchange(
          new HttpExchange.Listener() {
            @Override
            public void bodyLineReceived(Buffer line) {
              assertEquals(List.of(), ends, "no line after the end");
              lines.add(line.toString());
            }

            @Override
            public void ended(CallEnd end) {
              ends.add(end);
            }
          });

  private void respond(String bytes) {
    exchange.start(connection, new Address("127.0.0.1", 1), "/x");
    for (int i = 0; i < bytes.length(); i++) {
      connection.deliver(bytes.substring(i, i + 1));
    }
  }

  private void assertReceived(List<String> expectedLines, List<CallEnd> expectedEnds) {
    assertEquals(expectedLines, lines);
    assertEquals(expectedEnds, ends);
  }

  @Test
  void linesAreReceivedAsSoonAsTheyAreCompleteHoweverChunked() {
    respond(CHUNKED_HEAD + "1\r\na\r\n4;x=y\r\nb\n\nc\r\n2\r\nd\n\r\n");
    assertReceived(List.of("ab", "", "cd"), List.of());
    connection.deliver("0\r\n");
    assertReceived(List.of("ab", "", "cd"), List.of(COMPLETE));
    assertTrue(connection.closed);
  }

  @Test
  void lastLineNeedsNoLineEnd() {
    respond("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}");
    assertReceived(List.of("{}"), List.of(COMPLETE));
  }

  @Test
  void truncatedLineIsNotReceived() {
    respond(CHUNKED_HEAD + "4\r\n{\"a\"\r\n");
    connection.reset();
    assertReceived(List.of(), List.of(CONNECTION_LOST));
  }

  @Test
  void responseWithoutLengthIsCompleteAtEndOfStream() {
    respond(HEAD + "ab\n{}");
    assertReceived(List.of("ab"), List.of());
    connection.ends();
    assertReceived(List.of("ab", "{}"), List.of(COMPLETE));
  }

  @Test
  void responseWithoutLengthIsTruncatedByReset() {
    respond(HEAD + "{}");
    connection.reset();
    assertReceived(List.of(), List.of(CONNECTION_LOST));
  }

  @Test
  void otherStatusEndsTheExchangeOnce() {
    respond("HTTP/1.1 503 No\r\ncontent-length: 1\r\n\r\nx");
    List<CallEnd> expected = List.of(new CallEnd(CallEnd.Reason.UNEXPECTED_STATUS, "503"));
    assertReceived(List.of(), expected);
    connection.reset();
    assertReceived(List.of(), expected);
  }

  private static Stream<Arguments> responsesWithoutBodyLines() {
    String lengthHead = "HTTP/1.1 200 OK\r\ncontent-length: ";
    CallEnd lineTooLong = CallEnd.of(CallEnd.Reason.LINE_TOO_LONG);
    return Stream.of(
        arguments(lengthHead + "0\r\n\r\n", COMPLETE),
        arguments(lengthHead + "x\r\n\r\n", new CallEnd(CallEnd.Reason.INVALID_LENGTH, "x")),
        arguments(
            lengthHead + "4194305\r\n\r\n", new CallEnd(CallEnd.Reason.INVALID_LENGTH, "4194305")),
        arguments("nonsense\r\n", CallEnd.of(CallEnd.Reason.NOT_HTTP)),
        arguments("HTTP/1.1 200 " + "x".repeat(1024), lineTooLong),
        arguments(CHUNKED_HEAD + "-1\r\n{}\r\n", INVALID_CHUNK),
        arguments(CHUNKED_HEAD + "400001\r\n", INVALID_CHUNK),
        arguments(CHUNKED_HEAD + "2\r\n{}xx", INVALID_CHUNK),
        arguments(CHUNKED_HEAD + "1".repeat(1025), lineTooLong));
  }

  @ParameterizedTest
  @MethodSource("responsesWithoutBodyLines")
  void emptyOrMalformedResponseEndsTheExchange(String response, CallEnd end) {
    respond(response);
    assertReceived(List.of(), List.of(end));
    assertTrue(connection.closed);
  }

  @Test
  void connectionThatComesUpAfterCancellationIsClosed() {
    exchange.cancel();
    respond(CHUNKED_HEAD);
    assertReceived(List.of(), List.of());
    assertTrue(connection.closed);
  }
}
