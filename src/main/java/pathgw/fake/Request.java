package pathgw.fake;

import java.nio.charset.StandardCharsets;

/**
 * One request as it came to a node or the origin.
 *
 * @param labels the list of names and values as it came, for example {@code c=read,t=one,d=480}
 */
public record Request(boolean write, String key, String id, String labels) {
  /** The value of a label, or the empty text. */
  public String label(char name) {
    int at = labels.startsWith(name + "=") ? 0 : labels.indexOf("," + name + "=") + 1;
    if (at == 0 && !labels.startsWith(name + "=")) {
      return "";
    }
    int to = labels.indexOf(',', at);
    return labels.substring(at + 2, to < 0 ? labels.length() : to);
  }

  static String text(byte[] bytes, int from, int to) {
    return new String(bytes, from, to - from, StandardCharsets.ISO_8859_1);
  }
}
