package pathgw.transport;

import java.time.Duration;

/** Receives the events of a listener, on the event loop. */
@FunctionalInterface
public interface AcceptHandler {
  /** A connection has been accepted. Nothing is read from it before this returns. */
  void accepted(Connection connection);

  /** For how long connections that are found waiting now may have waited already. */
  default Duration eventLoopLag() {
    return Duration.ZERO;
  }

  /**
   * A waiting connection could not be accepted, in general because the process has no descriptor
   * left. The listener tries again after a few milliseconds.
   */
  default void acceptFailed(Throwable cause) {}
}
