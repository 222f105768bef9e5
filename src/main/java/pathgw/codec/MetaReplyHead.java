package pathgw.codec;

import io.vertx.core.buffer.Buffer;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Parses the line of a reply in the meta protocol. Each field must be in its place and occur once,
 * since bytes of another reply can precede the line.
 *
 * @param kind what the line reports
 * @param valueLength the length of the value that follows; 0 unless the kind is {@link Kind#VALUE}
 * @param receipt the receipt of a write; empty unless the kind is {@link Kind#RECEIPT}
 */
record MetaReplyHead(Kind kind, int valueLength, String receipt) {
  /** What the line of a reply reports. */
  enum Kind {
    /** A value follows. */
    VALUE,
    /** A write was carried out. */
    RECEIPT,
    /** The node lacks the key. */
    MISS,
    /** The node did not run the command. */
    REJECTION,
    /** The command failed and may have run. */
    FAILURE,
    /** The line is no valid reply to the command. */
    MALFORMED
  }

  private static final MetaReplyHead MALFORMED = of(Kind.MALFORMED);
  private static final String ID_FLAG = "O";
  private static final String RECEIPT_FLAG = "c";
  private static final String BUSY = "busy";
  private static final Pattern PRINTABLE = Pattern.compile("[ -~]+");
  private static final Pattern LENGTH = Pattern.compile("0|[1-9]\\d{0,6}");
  private static final Pattern RECEIPT = Pattern.compile("c[!-~]{1,128}");

  /** A flag is one letter and, for some letters, a token. */
  private static final Pattern FLAG = Pattern.compile("[A-Za-z][!-~]*");

  /** The flags that tell how a read went, which may precede the id. */
  private static final Set<String> READ_FLAGS = Set.of("h0", "h1", "Z");

  private static MetaReplyHead of(Kind kind) {
    return new MetaReplyHead(kind, 0, "");
  }

  /**
   * Parses a line.
   *
   * @param line the line without its line end
   * @param requestId the id of the command that it has to answer
   */
  static MetaReplyHead parse(Buffer line, String requestId) {
    String text = MetaCommand.text(line);
    if (!PRINTABLE.matcher(text).matches()) {
      return MALFORMED;
    }
    String[] words = text.split(" ", -1);
    return switch (words[0]) {
      case "VA" -> parseValue(words, requestId);
      case "HD" -> parseReceipt(words, requestId);
      case "EN" -> namesOnly(words, 1, requestId) ? of(Kind.MISS) : MALFORMED;
      case "SERVER_ERROR" -> of(isRejection(words) ? Kind.REJECTION : Kind.FAILURE);
      default -> MALFORMED;
    };
  }

  private static MetaReplyHead parseValue(String[] words, String requestId) {
    boolean valid =
        words.length > 1 && LENGTH.matcher(words[1]).matches() && namesOnly(words, 2, requestId);
    return valid ? new MetaReplyHead(Kind.VALUE, Integer.parseInt(words[1]), "") : MALFORMED;
  }

  private static MetaReplyHead parseReceipt(String[] words, String requestId) {
    String receipt = null;
    for (String word : words) {
      if (word.startsWith(RECEIPT_FLAG)) {
        if (receipt != null || !RECEIPT.matcher(word).matches()) {
          return MALFORMED;
        }
        receipt = word.substring(RECEIPT_FLAG.length());
      }
    }
    return receipt != null && namesOnly(words, 1, requestId)
        ? new MetaReplyHead(Kind.RECEIPT, 0, receipt)
        : MALFORMED;
  }

  /**
   * Whether the words from an index on are flags among which the id of the request occurs once and
   * no other id. Before it only flags that are known are valid: others may be the rest of a line
   * that was cut off.
   */
  private static boolean namesOnly(String[] words, int firstFlag, String requestId) {
    boolean named = false;
    for (int i = firstFlag; i < words.length; i++) {
      if (words[i].startsWith(ID_FLAG)) {
        if (named || !words[i].substring(ID_FLAG.length()).equals(requestId)) {
          return false;
        }
        named = true;
      } else if (!FLAG.matcher(words[i]).matches() || (!named && !READ_FLAGS.contains(words[i]))) {
        return false;
      }
    }
    return named;
  }

  /** Whether an error line says that the command never ran, in one of the forms of the protocol. */
  private static boolean isRejection(String[] words) {
    boolean busy = words.length > 1 && words[1].equals(BUSY);
    return busy && (words.length == 2 || (words.length == 3 && LENGTH.matcher(words[2]).matches()));
  }
}
