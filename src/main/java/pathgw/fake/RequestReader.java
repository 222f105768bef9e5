package pathgw.fake;

import io.vertx.core.buffer.Buffer;
import java.util.function.Consumer;

/** Reads what a proxy sends: meta commands for a cache node, HTTP for the origin. */
public final class RequestReader {
  private final RecordCutter cutter;
  private final Consumer<Request> whole;
  private final Runnable unreadable;
  private boolean put;
  private String key;
  private String id;
  private String labels;
  private int length;

  private RequestReader(boolean http, Consumer<Request> whole, Runnable unreadable) {
    cutter = new RecordCutter(http ? this::httpLine : this::metaLine);
    this.whole = whole;
    this.unreadable = unreadable;
  }

  public static RequestReader meta(Consumer<Request> whole, Runnable unreadable) {
    return new RequestReader(false, whole, unreadable);
  }

  public static RequestReader http(Consumer<Request> whole, Runnable unreadable) {
    return new RequestReader(true, whole, unreadable);
  }

  public void take(Buffer bytes) {
    cutter.take(bytes);
  }

  /** Whether a command has begun that is not whole. */
  public boolean begun() {
    return key != null || cutter.left() > 0;
  }

  private void metaLine(byte[] bytes, int from, int to) {
    String[] words = Request.text(bytes, from, to).split(" ");
    put = words[0].equals("ms");
    if ((!put && !words[0].equals("mg")) || words.length < 4) {
      unreadable.run();
      return;
    }
    key = words[1];
    id = "";
    labels = "";
    for (int i = 2; i < words.length; i++) {
      if (words[i].startsWith("O")) {
        id = words[i].substring(1);
      } else if (words[i].startsWith("P")) {
        labels = words[i].substring(1);
      }
    }
    if (!put) {
      over();
    } else {
      cutter.expect(Integer.parseInt(words[2]) + 2, (b, f, t) -> over());
    }
  }

  private void httpLine(byte[] bytes, int from, int to) {
    String line = Request.text(bytes, from, to);
    if (key == null) {
      String[] words = line.split(" ");
      if (words.length != 3 || !words[2].startsWith("HTTP/1.")) {
        unreadable.run();
        return;
      }
      put = words[0].equals("PUT");
      key = words[1].substring(1);
      length = 0;
    } else if (line.startsWith("X-Txn: ")) {
      id = line.substring(7);
    } else if (line.startsWith("X-Labels: ")) {
      labels = line.substring(10);
    } else if (line.startsWith("Content-Length: ")) {
      length = Integer.parseInt(line.substring(16));
    } else if (line.isEmpty()) {
      cutter.expect(length, (b, f, t) -> over());
    }
  }

  private void over() {
    Request request = new Request(put, key, id, labels);
    key = null;
    whole.accept(request);
  }
}
