package pathgw.simulation.invariant;

/**
 * A response as a client received it.
 *
 * @param line the response line; a value follows it after a space
 */
record ClientResponse(String line) {
  private static final String VALUE = "VA";
  private static final String STORED = "HD";

  static ClientResponse of(String line) {
    return new ClientResponse(line);
  }

  /** Returns the response's code, such as {@code VA} or {@code SERVER_ERROR}. */
  String code() {
    int end = line.indexOf(' ');
    return end < 0 ? line : line.substring(0, end);
  }

  /** Whether the response carries a value or the receipt of a write. */
  boolean isServed() {
    return code().equals(VALUE) || code().equals(STORED);
  }

  /** Returns the value or the receipt; only valid if {@link #isServed()}. */
  String payload() {
    String[] words = line.split(" ");
    return code().equals(VALUE) ? words[words.length - 1] : words[2].substring(1);
  }

  boolean isClientError() {
    return code().equals("CLIENT_ERROR");
  }

  boolean isRejected() {
    return line.startsWith("SERVER_ERROR busy");
  }

  /** Returns the line without a trailing number, such as the delay of a Retry-After. */
  String withoutTrailingNumber() {
    return line.replaceFirst(" \\d+$", "");
  }
}
