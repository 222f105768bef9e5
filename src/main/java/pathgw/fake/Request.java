package pathgw.fake;

/**
 * One request as a cache node or the origin received it.
 *
 * @param id the proxy's id of the client's attempt
 * @param labels the list of names and values as it came, for example {@code c=read,t=one,d=480}
 */
public record Request(boolean write, String key, String id, String labels) {
  /** The value of a label; empty where the request does not carry it. */
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
