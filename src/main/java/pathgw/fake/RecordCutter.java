package pathgw.fake;

import io.vertx.core.buffer.Buffer;
import java.util.Arrays;

/**
 * Cuts what comes on a connection into lines that end with CRLF or LF, and pieces of a known size.
 */
final class RecordCutter {
  /** Hears one record as a part of a buffer. */
  interface Taker {
    void take(byte[] bytes, int from, int to);
  }

  private final Taker line;
  private Taker piece;
  private int size = -1;
  private byte[] held = new byte[512];
  private int from;
  private int to;
  private int seen;

  RecordCutter(Taker line) {
    this.line = line;
  }

  /** The next record has this size, and goes to {@code piece}. */
  void expect(int size, Taker piece) {
    this.size = size;
    this.piece = piece;
  }

  /** Bytes held that are no whole record yet. */
  int left() {
    return to - from;
  }

  void take(Buffer bytes) {
    if (to + bytes.length() > held.length) {
      held =
          Arrays.copyOfRange(held, from, Math.max(held.length, to - from + bytes.length()) + from);
      to -= from;
      from = 0;
      held = Arrays.copyOf(held, Math.max(held.length, to + bytes.length()));
    }
    bytes.getBytes(held, to);
    to += bytes.length();
    while (cut()) {
      seen = 0;
    }
  }

  private boolean cut() {
    if (size >= 0) {
      if (to - from < size) {
        return false;
      }
      int at = from;
      from += size;
      size = -1;
      piece.take(held, at, from);
      return true;
    }
    for (int i = from + seen; i < to; i++) {
      if (held[i] == '\n') {
        int at = from;
        from = i + 1;
        line.take(held, at, i > at && held[i - 1] == '\r' ? i - 1 : i);
        return true;
      }
    }
    seen = to - from;
    return false;
  }
}
