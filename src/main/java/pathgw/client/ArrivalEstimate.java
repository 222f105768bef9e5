package pathgw.client;

import java.time.Duration;
import pathgw.algorithm.Durations;
import pathgw.codec.MetaCommand;
import pathgw.observability.RequestReceipt;
import pathgw.transport.Connection;
import pathgw.transport.EventLoopTimers;

/** Estimates when the commands on one client connection arrived, from which deadlines count. */
final class ArrivalEstimate {
  /**
   * A first request that is read within this time after its connection was accepted, pauses of the
   * event loop left out, may have arrived before the accept: delays of this length have been
   * observed on a busy machine.
   */
  private static final Duration MAX_FIRST_READ_DELAY = Duration.ofMillis(100);

  /** A connection that waited for less than this was accepted at once. */
  private static final Duration MIN_WAIT_BEFORE_ACCEPT = Duration.ofMillis(5);

  private final Connection connection;
  private final EventLoopTimers timers;
  private final Duration acceptedAt;

  /**
   * For how long the first command may already have lain unread when the connection was handed
   * over: because the event loop was late, or the connection waited to be accepted or was held.
   */
  private final Duration lagWhenAccepted;

  private boolean hasReceivedRequest;

  /**
   * Creates the estimate of a connection.
   *
   * @param acceptedAt when it was handed over, which is now
   */
  ArrivalEstimate(Connection connection, EventLoopTimers timers, Duration acceptedAt) {
    this.connection = connection;
    this.timers = timers;
    this.acceptedAt = acceptedAt;
    lagWhenAccepted =
        Durations.later(timers.lag(acceptedAt), waitBeforeAccept(connection.maxTimeSinceArrival()));
  }

  private static Duration waitBeforeAccept(Duration maxTimeSinceArrival) {
    return maxTimeSinceArrival.compareTo(MIN_WAIT_BEFORE_ACCEPT) < 0
        ? Duration.ZERO
        : maxTimeSinceArrival;
  }

  /**
   * Returns what is known of a command that is handled now.
   *
   * @param readingPausedFor for how long reading was paused before it
   * @param waitedForMemory for how long it was not read on for want of memory
   */
  RequestReceipt receipt(MetaCommand command, Duration readingPausedFor, Duration waitedForMemory) {
    Duration connectionAge = timers.now().minus(acceptedAt);
    Duration unreadFor = timers.lag(acceptedAt);
    Duration readAfterAccept = connectionAge.minus(unreadFor);
    boolean isFirstRequest =
        !hasReceivedRequest && readAfterAccept.compareTo(MAX_FIRST_READ_DELAY) < 0;
    if (isFirstRequest && !lagWhenAccepted.isZero()) {
      unreadFor = Durations.later(unreadFor, lagWhenAccepted.plus(connectionAge));
    }
    hasReceivedRequest = true;
    return new RequestReceipt(
        command.clientTimeout(),
        unreadFor.plus(waitedForMemory),
        connectionAge,
        readingPausedFor,
        connection.isClosedByPeer());
  }
}
