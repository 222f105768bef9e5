package pathgw.fake;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RequestReaderTest {
  private static final String META =
      "mg k1 v O1f Pc=read,d=400\r\nms k2 5 O20 Pc=hold,k=7\r\nhello\r\nmg k3 v O21 Pc=read\n";
  private static final String HTTP =
      "GET /k1 HTTP/1.1\r\nX-Txn: 1f\r\nX-Labels: c=read,d=400\r\n\r\n"
          + "PUT /k2 HTTP/1.1\r\nX-Txn: 20\r\nX-Labels: c=hold,k=7\r\nContent-Length: 5\r\n\r\nhello"
          + "GET /k3 HTTP/1.1\r\nX-Txn: 21\r\nX-Labels: c=read\r\n\r\n";
  private static final List<Request> REQUESTS =
      List.of(
          new Request(false, "k1", "1f", "c=read,d=400"),
          new Request(true, "k2", "20", "c=hold,k=7"),
          new Request(false, "k3", "21", "c=read"));

  private final List<Request> received = new ArrayList<>();
  private int unreadableCount;

  private void readInPieces(RequestReader reader, String bytes, int pieceLength) {
    for (int from = 0; from < bytes.length(); from += pieceLength) {
      int to = Math.min(bytes.length(), from + pieceLength);
      reader.read(Buffer.buffer(bytes.substring(from, to)));
    }
  }

  @Test
  void metaCommandsAreReadInPiecesOfAnyLength() {
    for (int length = 1; length <= META.length(); length++) {
      received.clear();
      readInPieces(RequestReader.meta(received::add, () -> unreadableCount++), META, length);
      assertEquals(REQUESTS, received, "pieces of " + length + " bytes");
    }
    assertEquals(0, unreadableCount);
  }

  @Test
  void httpRequestsAreReadInPiecesOfAnyLength() {
    for (int length = 1; length <= HTTP.length(); length++) {
      received.clear();
      readInPieces(RequestReader.http(received::add, () -> unreadableCount++), HTTP, length);
      assertEquals(REQUESTS, received, "pieces of " + length + " bytes");
    }
    assertEquals(0, unreadableCount);
  }

  @Test
  void invalidLineIsReportedAsUnreadable() {
    RequestReader.meta(received::add, () -> unreadableCount++).read(Buffer.buffer("get k1\r\n"));
    RequestReader.http(received::add, () -> unreadableCount++)
        .read(Buffer.buffer("mg k1 v O1\r\n"));
    assertEquals(2, unreadableCount);
    assertEquals(List.of(), received);
  }

  @Test
  void labelMatchesItsWholeNameOnly() {
    Request request = new Request(true, "k1", "1f", "c=read,tk=9,k=7");
    assertEquals("read", request.label('c'));
    assertEquals("7", request.label('k'));
    assertEquals("", request.label('d'));
  }
}
