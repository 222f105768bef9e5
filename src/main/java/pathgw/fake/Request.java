package pathgw.fake;

/**
 * A request as a cache node or the origin received it.
 *
 * @param write whether the request is a write; otherwise it is a read
 * @param key the key that is read or written
 * @param id the id that the proxy gave to the client's attempt
 * @param labels the list of names and values as received, for example {@code c=read,t=one,d=480}
 */
public record Request(boolean write, String key, String id, String labels) {
  /** Returns the value of a label; empty if the request doesn't have the label. */
  public String label(char name) {
    String prefix = name + "=";
    if (labels.startsWith(prefix)) {
      return valueAt(prefix.length());
    }
    int separator = labels.indexOf("," + prefix);
    return separator < 0 ? "" : valueAt(separator + 1 + prefix.length());
  }

  private String valueAt(int start) {
    int end = labels.indexOf(',', start);
    return labels.substring(start, end < 0 ? labels.length() : end);
  }
}
