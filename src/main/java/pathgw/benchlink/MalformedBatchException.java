package pathgw.benchlink;

/** Reports a batch that violates the wire format, with the field and its byte position. */
final class MalformedBatchException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  MalformedBatchException(String message) {
    super(message);
  }
}
