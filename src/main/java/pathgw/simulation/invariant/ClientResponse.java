package pathgw.simulation.invariant;

/**
 * A response as a client read it.
 *
 * @param line the response line, with the value behind it after a blank if there is one
 */
record ClientResponse(String line) {
  private static final String VALUE = "VA";
  private static final String STORED = "HD";

  static ClientResponse of(String line) {
    return new ClientResponse(line);
  }

  /** The response's code, such as {@code VA} or {@code SERVER_ERROR}. */
  String code() {
    int end = line.indexOf(' ');
    return end < 0 ? line : line.substring(0, end);
  }

  /** Whether it carries a value or the receipt of a write. */
  boolean isServed() {
    return code().equals(VALUE) || code().equals(STORED);
  }

  /** The value or the receipt of a response that serves a request. */
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

  /** The line without the figure at its end, such as the pause of a Retry-After. */
  String withoutTrailingNumber() {
    return line.replaceFirst(" \\d+$", "");
  }
}
