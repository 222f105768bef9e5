package pathgw.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pathgw.config.Address;
import pathgw.transport.FakeConnection;

/** A call to the endpoint list, whose answer the test writes byte by byte. */
class EndpointListCallTest {
  private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  private final List<String> heard = new ArrayList<>();
  private final FakeConnection list = new FakeConnection();
  private final EndpointListCall call =
      new EndpointListCall(line -> heard.add(line.toString()), end -> heard.add("! " + end));

  private List<String> answer(String bytes) {
    call.start(list, new Address("127.0.0.1", 1), "/x");
    for (int i = 0; i < bytes.length(); i++) {
      list.gives(bytes.substring(i, i + 1));
    }
    return heard;
  }

  @Test
  void linesComeAsSoonAsTheyAreWholeHoweverTheChunksLie() {
    assertEquals(
        List.of("ab", "", "cd"), answer(CHUNKED + "1\r\na\r\n4;x=y\r\nb\n\nc\r\n2\r\nd\n\r\n"));
    list.gives("0\r\n");
    assertEquals("! ended", heard.get(3));
    assertTrue(list.closed);
  }

  @Test
  void aLastLineNeedsNoEndOfItsOwn() {
    assertEquals(
        List.of("{}", "! ended"), answer("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"));
  }

  @Test
  void whatIsCutShortIsNoLine() {
    answer(CHUNKED + "4\r\n{\"a\"\r\n");
    list.breaks();
    assertEquals(List.of("! the connection ended"), heard);
  }

  @Test
  void anAnswerWithoutLengthIsWholeOnlyWhereItsConnectionEndsWell() {
    String head = "HTTP/1.1 200 OK\r\n\r\n";
    assertEquals(List.of("ab"), answer(head + "ab\n{}"));
    list.ends();
    assertEquals(List.of("ab", "{}", "! ended"), heard);
  }

  @Test
  void anAnswerWithoutLengthThatIsResetIsCut() {
    answer("HTTP/1.1 200 OK\r\n\r\n{}");
    list.breaks();
    assertEquals(List.of("! the connection ended"), heard);
  }

  @Test
  void everyOtherAnswerEndsTheCallOnceAndSaysWhy() {
    assertEquals(List.of("! status 503"), answer("HTTP/1.1 503 No\r\ncontent-length: 1\r\n\r\nx"));
    list.breaks();
    assertEquals(1, heard.size());
  }

  @Test
  void aChunkOfNoLengthIsNoList() {
    assertEquals(List.of("! a chunk of no length"), answer(CHUNKED + "-1\r\n{}\r\n"));
  }

  @Test
  void aCallThatIsStoppedBeforeItsConnectionIsUpLeavesNoneOpen() {
    call.stop();
    assertEquals(List.of(), answer(CHUNKED));
    assertTrue(list.closed);
  }
}
