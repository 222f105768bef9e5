package pathgw.fake;

import io.vertx.core.buffer.Buffer;
import java.util.function.Consumer;

/**
 * Parses the requests that a proxy sends on one connection: meta commands to a cache node, HTTP to
 * the origin. A request may arrive in any number of pieces.
 */
public final class RequestReader {
  private static final String REQUEST_ID_HEADER = "X-Txn: ";
  private static final String LABELS_HEADER = "X-Labels: ";
  private static final String CONTENT_LENGTH_HEADER = "Content-Length: ";
  private static final int MIN_META_WORDS = 4;
  private static final int HTTP_REQUEST_LINE_WORDS = 3;
  private static final int CRLF_BYTES = 2;

  private final RecordCutter cutter;
  private final Consumer<Request> onRequest;
  private final Runnable onUnreadable;
  private boolean write;

  /** The key of the request being read; null between requests. */
  private String key;

  private String id;
  private String labels;
  private int contentLength;

  private RequestReader(boolean http, Consumer<Request> onRequest, Runnable onUnreadable) {
    cutter = new RecordCutter(http ? this::httpLine : this::metaLine);
    this.onRequest = onRequest;
    this.onUnreadable = onUnreadable;
  }

  /**
   * Creates a reader of meta commands.
   *
   * @param onRequest receives each complete request
   * @param onUnreadable called for a line that isn't a valid command
   */
  public static RequestReader meta(Consumer<Request> onRequest, Runnable onUnreadable) {
    return new RequestReader(false, onRequest, onUnreadable);
  }

  /**
   * Creates a reader of HTTP requests.
   *
   * @param onRequest receives each complete request
   * @param onUnreadable called for a line that isn't a valid request line
   */
  public static RequestReader http(Consumer<Request> onRequest, Runnable onUnreadable) {
    return new RequestReader(true, onRequest, onUnreadable);
  }

  /** Reads further bytes and delivers each request that they complete. */
  public void read(Buffer bytes) {
    cutter.add(bytes);
  }

  private void metaLine(byte[] bytes, int from, int to) {
    String[] words = RecordCutter.text(bytes, from, to).split(" ");
    write = words[0].equals("ms");
    if ((!write && !words[0].equals("mg")) || words.length < MIN_META_WORDS) {
      onUnreadable.run();
      return;
    }
    key = words[1];
    readFlags(words);
    if (write) {
      int valueLength = Integer.parseInt(words[2]);
      cutter.expectBlock(valueLength + CRLF_BYTES, (value, start, end) -> complete());
    } else {
      complete();
    }
  }

  private void readFlags(String[] words) {
    id = "";
    labels = "";
    for (int i = 2; i < words.length; i++) {
      if (words[i].startsWith("O")) {
        id = words[i].substring(1);
      } else if (words[i].startsWith("P")) {
        labels = words[i].substring(1);
      }
    }
  }

  private void httpLine(byte[] bytes, int from, int to) {
    String line = RecordCutter.text(bytes, from, to);
    if (key == null) {
      httpRequestLine(line);
    } else if (line.startsWith(REQUEST_ID_HEADER)) {
      id = line.substring(REQUEST_ID_HEADER.length());
    } else if (line.startsWith(LABELS_HEADER)) {
      labels = line.substring(LABELS_HEADER.length());
    } else if (line.startsWith(CONTENT_LENGTH_HEADER)) {
      contentLength = Integer.parseInt(line.substring(CONTENT_LENGTH_HEADER.length()));
    } else if (line.isEmpty()) {
      cutter.expectBlock(contentLength, (body, start, end) -> complete());
    }
  }

  private void httpRequestLine(String line) {
    String[] words = line.split(" ");
    if (words.length != HTTP_REQUEST_LINE_WORDS || !words[2].startsWith("HTTP/1.")) {
      onUnreadable.run();
      return;
    }
    write = words[0].equals("PUT");
    key = words[1].substring(1);
    contentLength = 0;
  }

  private void complete() {
    Request request = new Request(write, key, id, labels);
    key = null;
    onRequest.accept(request);
  }
}
