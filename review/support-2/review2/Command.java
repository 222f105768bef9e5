package review2;

/** Commands in the form that clients send, each with an id of its own. */
final class Command {
  static final String CRLF = "\r\n";

  private Command() {}

  static String id(int number) {
    return String.format("%016x", 0x9b1f03aa5c7e0000L + number);
  }

  /** The key of a command; neighbouring numbers have unlike keys. */
  private static String key(int number) {
    return Long.toHexString(0x7f3a9c21e0b40000L + 7919L * number);
  }

  static String read(int number, String offering, int timeoutMs) {
    return "mg " + key(number) + " v O" + id(number) + " Pc=" + offering + ",d=" + timeoutMs + CRLF;
  }

  static String write(int number, String offering, int timeoutMs, int valueBytes) {
    String id = id(number);
    return "ms " + key(number) + " " + valueBytes + " O" + id + " Pc=" + offering + ",d=" + timeoutMs
        + ",k=" + id + CRLF + CacheNode.value(id, valueBytes) + CRLF;
  }
}
