package pathgw.codec;

import io.vertx.core.buffer.Buffer;

/** Parses the line that precedes each chunk of a chunked HTTP body. */
public final class HttpChunkSize {
  /** Returned for a line that is no chunk size. */
  public static final int INVALID = -1;

  private static final int RADIX = 16;

  /** More digits would not fit an {@code int}; each reader has a lower limit of its own. */
  private static final String DIGITS_REGEX = "[0-9a-fA-F]{1,7}";

  private HttpChunkSize() {}

  /**
   * Parses a chunk size; chunk extensions are ignored.
   *
   * @param line the line without its line end
   * @return the size of the chunk in bytes, or {@link #INVALID}
   */
  public static int parse(Buffer line) {
    String digits = MetaCommand.text(line).split(";", 2)[0].trim();
    return digits.matches(DIGITS_REGEX) ? Integer.parseInt(digits, RADIX) : INVALID;
  }
}
