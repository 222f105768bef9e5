package pathgw.observability;

/** Hears what a proxy does with its requests, and has no say in it. */
public interface RequestObserver {
  /** Who does not listen. */
  RequestObserver NONE = new RequestObserver() {};

  /** The module has rejected a request or written it off. */
  default void decided(String request) {}

  /** An attempt begins; a request's first has number 0. */
  default void attemptStarted(String request, int number) {}

  /**
   * A request has ended.
   *
   * @param how in a word
   * @param attempts that it had
   */
  default void answered(String request, String how, int attempts) {}

  /**
   * An attempt has ended.
   *
   * @param end the name of its end
   */
  default void ended(String request, String end) {}
}
