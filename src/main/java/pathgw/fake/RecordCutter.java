package pathgw.fake;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;

/**
 * Splits the bytes of a connection into records: lines that end with CRLF or LF, and blocks of a
 * known size.
 */
public final class RecordCutter {
  private static final int INITIAL_BYTES = 512;
  private static final int NO_BLOCK = -1;

  /** Receives a record as a range of a buffer that is valid only during the call. */
  public interface RecordConsumer {
    /**
     * Called once for each record.
     *
     * @param from index of the first byte
     * @param to index after the last byte
     */
    void accept(byte[] bytes, int from, int to);
  }

  private final RecordConsumer onLine;
  private RecordConsumer onBlock;
  private int blockSize = NO_BLOCK;
  private byte[] buffer = new byte[INITIAL_BYTES];
  private int from;
  private int to;

  /** The number of bytes from {@code from} on that contain no line end. */
  private int searchedBytes;

  /**
   * Creates a cutter whose first record is a line.
   *
   * @param onLine receives each line without its line end
   */
  public RecordCutter(RecordConsumer onLine) {
    this.onLine = onLine;
  }

  /**
   * Makes the next record a block; after it, lines follow again.
   *
   * @param size the size of the block in bytes
   * @param onBlock receives the block
   */
  public void expectBlock(int size, RecordConsumer onBlock) {
    blockSize = size;
    this.onBlock = onBlock;
  }

  /** Adds received bytes and delivers each record that they complete. */
  public void add(Buffer bytes) {
    if (to + bytes.length() > buffer.length) {
      ensureCapacity(bytes.length());
    }
    bytes.getBytes(buffer, to);
    to += bytes.length();
    while (deliverNext()) {
      searchedBytes = 0;
    }
  }

  /** Returns a record as text, with one character for each byte. */
  public static String text(byte[] bytes, int from, int to) {
    return new String(bytes, from, to - from, StandardCharsets.ISO_8859_1);
  }

  private void ensureCapacity(int length) {
    int remaining = to - from;
    byte[] larger = new byte[Math.max(buffer.length, remaining + length)];
    System.arraycopy(buffer, from, larger, 0, remaining);
    buffer = larger;
    from = 0;
    to = remaining;
  }

  private boolean deliverNext() {
    return blockSize < 0 ? deliverLine() : deliverBlock();
  }

  private boolean deliverBlock() {
    if (to - from < blockSize) {
      return false;
    }
    int start = from;
    from += blockSize;
    blockSize = NO_BLOCK;
    onBlock.accept(buffer, start, from);
    return true;
  }

  private boolean deliverLine() {
    for (int i = from + searchedBytes; i < to; i++) {
      if (buffer[i] == '\n') {
        int start = from;
        from = i + 1;
        boolean crlf = i > start && buffer[i - 1] == '\r';
        onLine.accept(buffer, start, crlf ? i - 1 : i);
        return true;
      }
    }
    searchedBytes = to - from;
    return false;
  }
}
