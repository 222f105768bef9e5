package pathgw.benchlink;

/** A batch that breaks the wire's format; the message names the field and its byte position. */
final class MalformedBatchException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  MalformedBatchException(String message) {
    super(message);
  }
}
