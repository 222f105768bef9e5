package pathgw.codec;

/** What a complete reply of a cache node or the origin says. */
public enum ReplyStatus {
  /** A value, or the receipt of a write. */
  ANSWERED,
  /** Nothing is stored under the key. */
  MISS,
  /** An error; the request may have run. */
  FAILED,
  /** Turned away unseen: the request never ran. */
  REJECTED,
  /** Not a reply to this request, or not of the protocol's form. */
  MALFORMED
}
