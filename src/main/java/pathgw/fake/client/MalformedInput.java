package pathgw.fake.client;

/**
 * The malformed commands that a client may send. Random draws and events use their ordinals, so the
 * order of the constants must not change.
 */
enum MalformedInput {
  SILENCE,
  NOISE,
  ENDLESS_LINE,
  NEGATIVE_LENGTH,
  EXCESSIVE_LENGTH,
  UNKNOWN_REQUEST_CLASS,
  UNREADABLE_DEADLINE,
  MISSING_ID,
  INCOMPLETE_VALUE,
  UNKNOWN_COMMANDS,
  VALUE_LONGER_THAN_ITS_LENGTH,
  KEY_TOO_LONG;

  /**
   * Returns the text to send; empty if the client sends nothing.
   *
   * @param id a valid request id
   * @param requestClass the name of a valid request class
   */
  String text(String id, String requestClass) {
    String classLabel = " Pc=" + requestClass;
    String validFlags = " O" + id + classLabel + ",d=400";
    return switch (this) {
      case SILENCE -> "";
      case NOISE -> "\u0001\u00fe\u0080 what\r\n";
      case ENDLESS_LINE -> "mg k1 v" + "x".repeat(5000);
      case NEGATIVE_LENGTH -> "ms k1 -5" + validFlags + "\r\n";
      case EXCESSIVE_LENGTH -> "ms k1 60000000" + validFlags + "\r\n";
      case UNKNOWN_REQUEST_CLASS -> "mg k1 v O" + id + " Pc=nothing,d=400\r\n";
      case UNREADABLE_DEADLINE -> "mg k1 v O" + id + classLabel + ",d=soon\r\n";
      case MISSING_ID -> "mg k1 v" + classLabel + ",d=400\r\n";
      case INCOMPLETE_VALUE -> "ms k1 5" + validFlags + "\r\nhe";
      case UNKNOWN_COMMANDS -> "mn2\r\n".repeat(300);
      case VALUE_LONGER_THAN_ITS_LENGTH ->
          "ms k1 5" + validFlags + "\r\nhello, and more than said\r\n";
      case KEY_TOO_LONG -> "mg " + "k".repeat(300) + " v" + validFlags + "\r\n";
    };
  }
}
