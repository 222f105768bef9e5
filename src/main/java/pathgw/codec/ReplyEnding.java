package pathgw.codec;

/** How the end of a reply's payload was recognized, and so what shows that the payload is whole. */
public enum ReplyEnding {
  /** A delimiter that cannot occur in the payload, such as the line end of a receipt. */
  DELIMITER,
  /**
   * A declared length and a delimiter behind it. The payload may contain the delimiter, so a wrong
   * length goes unnoticed if it leads to such a place.
   */
  LENGTH_AND_DELIMITER,
  /** A declared length alone. If it is too short, only the bytes that follow show it. */
  LENGTH,
  /** The end of the stream. */
  END_OF_STREAM
}
