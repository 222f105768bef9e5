package pathgw.client;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayDeque;

/** The bytes of one client that have been received and not consumed, in order. */
final class InputBuffer {
  private static final Buffer NOTHING = Buffer.buffer();

  /** The bytes that are consumed next, from {@link #position} on. */
  private Buffer first = NOTHING;

  private int position;

  /** How far the first bytes are known to contain no line end. */
  private int searchedUpTo;

  private final ArrayDeque<Buffer> further = new ArrayDeque<>();
  private long size;

  /** The number of bytes that have not been consumed. */
  long size() {
    return size;
  }

  /** Appends bytes, which must not be changed afterwards. */
  void add(Buffer bytes) {
    further.add(bytes);
    size += bytes.length();
  }

  /** Drops all bytes. */
  void clear() {
    setFirst(NOTHING);
    further.clear();
    size = 0;
  }

  /** Frees the memory of consumed bytes. */
  void trim() {
    if (position > 0) {
      int searched = Math.max(0, searchedUpTo - position);
      setFirst(position == first.length() ? NOTHING : first.getBuffer(position, first.length()));
      searchedUpTo = searched;
    }
  }

  private void setFirst(Buffer bytes) {
    first = bytes;
    position = 0;
    searchedUpTo = 0;
  }

  /**
   * Consumes a line.
   *
   * @param maxBytes how many bytes are searched for the line end
   * @return the line without its line end, or null if no line end has been found
   */
  Buffer pollLine(int maxBytes) {
    int lineEnd = findLineEnd(maxBytes);
    while (lineEnd < 0 && !further.isEmpty() && first.length() - position <= maxBytes) {
      joinNext();
      lineEnd = findLineEnd(maxBytes);
    }
    if (lineEnd < 0) {
      return null;
    }
    Buffer line = first.getBuffer(position, lineEnd);
    size -= lineEnd + 2 - position;
    position = lineEnd + 2;
    searchedUpTo = position;
    return line;
  }

  /** Returns the position of the first CR LF, or -1. */
  private int findLineEnd(int maxBytes) {
    int last = Math.min(first.length() - 1, position + maxBytes + 1);
    for (int i = Math.max(position, searchedUpTo); i < last; i++) {
      if (first.getByte(i) == '\r' && first.getByte(i + 1) == '\n') {
        return i;
      }
    }
    searchedUpTo = Math.max(searchedUpTo, last);
    return -1;
  }

  /** Appends the next bytes to those of an incomplete line. */
  private void joinNext() {
    trim();
    if (first.length() == 0) {
      setFirst(further.poll());
    } else {
      int searched = searchedUpTo;
      setFirst(first.copy().appendBuffer(further.poll()));
      searchedUpTo = searched;
    }
  }

  /**
   * Consumes bytes.
   *
   * @param maxBytes how many at most
   * @param target receives the bytes; null to drop them
   * @return how many bytes were consumed
   */
  int poll(int maxBytes, Buffer target) {
    int consumed = 0;
    while (consumed < maxBytes && size > 0) {
      if (position == first.length()) {
        setFirst(further.poll());
      }
      int count = Math.min(maxBytes - consumed, first.length() - position);
      if (target != null) {
        target.appendBuffer(first, position, count);
      }
      position += count;
      searchedUpTo = position;
      size -= count;
      consumed += count;
    }
    return consumed;
  }
}
