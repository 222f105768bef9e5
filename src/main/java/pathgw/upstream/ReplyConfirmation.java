package pathgw.upstream;

import java.time.Duration;
import java.util.function.Consumer;
import pathgw.codec.ReplyEnding;
import pathgw.codec.ReplyStatus;
import pathgw.codec.UpstreamCodec;
import pathgw.codec.UpstreamCodec.FollowingBytes;
import pathgw.codec.UpstreamCodec.Reply;
import pathgw.transport.EventLoopTimers;

/**
 * Holds back a complete reply whose payload may have been cut off by a declared length that is too
 * short. The rest of the payload then follows the reply. So the reply is confirmed once nothing has
 * followed for a while, or only copies of it; followed by anything else it counts as cut off.
 */
final class ReplyConfirmation {
  /** How long nothing may follow a reply whose end only its declared length shows. */
  private static final Duration QUIET_TIME = Duration.ofMillis(8);

  /**
   * How long to wait after a block of the event loop until it has read what arrived meanwhile. The
   * timer may run before that in the iteration that ends the block.
   */
  private static final Duration CATCH_UP_TIME = Duration.ofMillis(10);

  private final UpstreamCodec codec;
  private final EventLoopTimers timers;
  private final Consumer<Reply> onConfirmed;
  private final Runnable onCutOff;

  /** The reply that is held back, or null. */
  private Reply heldReply;

  private EventLoopTimers.Timer timer;

  /**
   * Creates the confirmation of the replies on one connection, which is idle.
   *
   * @param codec tells what follows a reply
   * @param timers the event loop's timers
   * @param onConfirmed receives each reply that is confirmed, or that cannot be cut off
   * @param onCutOff runs in place of this if a reply may be cut off
   */
  ReplyConfirmation(
      UpstreamCodec codec, EventLoopTimers timers, Consumer<Reply> onConfirmed, Runnable onCutOff) {
    this.codec = codec;
    this.timers = timers;
    this.onConfirmed = onConfirmed;
    this.onCutOff = onCutOff;
  }

  /** Called when bytes have been received that complete the reply, or follow it. */
  void received(Reply reply) {
    cancel();
    if (!mayBeCutOff(reply)) {
      onConfirmed.accept(reply);
    } else if (codec.followingBytes() == FollowingBytes.OTHER) {
      onCutOff.run();
    } else {
      hold(reply);
    }
  }

  /** Behind a delimiter, it is enough to read everything that arrived together with the reply. */
  private void hold(Reply reply) {
    heldReply = reply;
    boolean delimited = reply.ending() == ReplyEnding.LENGTH_AND_DELIMITER;
    if (delimited && codec.followingBytes() != FollowingBytes.INCOMPLETE) {
      timer = timers.schedule(Duration.ZERO, this::decide);
    } else {
      timer = timers.schedule(QUIET_TIME, this::quietTimePassed);
    }
  }

  private static boolean mayBeCutOff(Reply reply) {
    boolean lengthDeclared =
        reply.ending() == ReplyEnding.LENGTH || reply.ending() == ReplyEnding.LENGTH_AND_DELIMITER;
    return reply.status() == ReplyStatus.ANSWERED && lengthDeclared;
  }

  private void quietTimePassed() {
    if (timers.hasCaughtUp()) {
      decide();
    } else {
      timer = timers.schedule(CATCH_UP_TIME, this::decide);
    }
  }

  private void decide() {
    Reply reply = heldReply;
    cancel();
    if (endsWithCopies()) {
      onConfirmed.accept(reply);
    } else {
      onCutOff.run();
    }
  }

  /** Whether no bytes are left that have not turned out to be a copy of the reply. */
  private boolean endsWithCopies() {
    return codec.followingBytes() != FollowingBytes.INCOMPLETE;
  }

  /**
   * Handles the end of the stream, after which nothing can follow.
   *
   * @return the reply that this confirms, or null
   */
  Reply endOfStream() {
    Reply reply = heldReply;
    cancel();
    return endsWithCopies() ? reply : null;
  }

  /** Drops a reply that is held back. */
  void cancel() {
    heldReply = null;
    if (timer != null) {
      timers.cancel(timer);
      timer = null;
    }
  }
}
