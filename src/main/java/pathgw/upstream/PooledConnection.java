package pathgw.upstream;

import io.vertx.core.buffer.Buffer;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import pathgw.codec.MetaCommand;
import pathgw.codec.ReplyStatus;
import pathgw.codec.UpstreamCodec;
import pathgw.transport.Connection;
import pathgw.transport.EventLoopTimers;

/** One connection of a pool and the attempt that it carries, if any. */
final class PooledConnection {
  private static final Logger LOG = System.getLogger(PooledConnection.class.getName());

  /**
   * Endpoints write a reply in one go. One that has begun and then pauses for this long is shorter
   * than it says, and its rest will not come.
   */
  private static final Duration STALL_TIMEOUT = Duration.ofMillis(150);

  private static final int MAX_LOGGED_BYTES = 80;

  private final ConnectionPool pool;
  private final Connection connection;
  private final UpstreamCodec codec;
  private final EventLoopTimers timers;

  /** The attempt in flight; null while the connection is idle or closed. */
  private Attempt attempt;

  private Duration idleSince;
  private Duration lastReceivedAt;
  private EventLoopTimers.Timer stallTimer;
  private boolean permitReleased;

  PooledConnection(ConnectionPool pool, Connection connection, UpstreamCodec codec) {
    this.pool = pool;
    this.connection = connection;
    this.codec = codec;
    timers = pool.timers();
    connection.onData(this::received);
    connection.onClose(this::closed);
  }

  /** Since when the connection has been idle. */
  Duration idleSince() {
    return idleSince;
  }

  /** Whether the reply to a command names that command. */
  boolean repliesName(MetaCommand command) {
    return codec.repliesName(command);
  }

  /** Sends an attempt on this connection, which is open and carries nothing. */
  void send(Attempt attempt) {
    if (!attempt.mayBeSent()) {
      // It ended while the connection was being opened: the next one finds it open.
      becomeIdle();
      return;
    }
    this.attempt = attempt;
    attempt.startOn(this::close);
    connection
        .write(codec.startRequest(attempt.command(), attempt.timeLeft()))
        .onSuccess(written -> attempt.lastByteWritten());
  }

  /** Closes the connection; its permit is free at once. */
  void close() {
    releasePermit();
    connection.close();
  }

  private void releasePermit() {
    if (!permitReleased) {
      permitReleased = true;
      pool.releasePermit();
    }
  }

  private void becomeIdle() {
    attempt = null;
    if (pool.retired()) {
      close();
      return;
    }
    idleSince = timers.now();
    pool.addIdle(this);
  }

  private void closed(Connection.CloseReason reason) {
    releasePermit();
    pool.removeIdle(this);
    cancelStallTimer();
    if (attempt != null) {
      endAttempt(reason);
    }
  }

  /** An end of stream may complete a reply without a length; a reset completes nothing. */
  private void endAttempt(Connection.CloseReason reason) {
    boolean endOfStream = reason == Connection.CloseReason.END_OF_STREAM;
    UpstreamCodec.Reply reply = endOfStream ? codec.endOfStream() : null;
    if (reply == null) {
      attempt.connectionLost();
    } else {
      attempt.end(AttemptEnd.of(reply.status()), reply.payload());
    }
  }

  private void received(Buffer bytes) {
    if (attempt == null) {
      closeUnusable("unrequested bytes", bytes);
      return;
    }
    UpstreamCodec.Reply reply = decode(bytes);
    lastReceivedAt = timers.now();
    if (reply == null) {
      scheduleStallCheck();
      return;
    }
    cancelStallTimer();
    Attempt answered = attempt;
    finishReply(reply, bytes);
    answered.end(AttemptEnd.of(reply.status()), reply.payload());
  }

  /** The reply that these bytes complete, or null. */
  private UpstreamCodec.Reply decode(Buffer bytes) {
    try {
      return codec.decode(bytes);
    } catch (RuntimeException e) {
      LOG.log(Level.ERROR, "node " + pool.address() + " connection closed: internal error", e);
      return UpstreamCodec.Reply.MALFORMED;
    }
  }

  /** Decides whether the connection can be used again after a complete reply. */
  private void finishReply(UpstreamCodec.Reply reply, Buffer bytes) {
    if (reply.status() == ReplyStatus.MALFORMED) {
      closeUnusable("malformed reply", bytes);
    } else if (codec.hasSurplus()) {
      closeUnusable("surplus bytes after a reply", bytes);
    } else if (codec.closesConnection()) {
      attempt = null;
      close();
    } else {
      becomeIdle();
    }
  }

  private void scheduleStallCheck() {
    if (stallTimer == null) {
      stallTimer = timers.scheduleAt(lastReceivedAt.plus(STALL_TIMEOUT), this::checkStalled);
    }
  }

  private void checkStalled() {
    stallTimer = null;
    if (timers.now().compareTo(lastReceivedAt.plus(STALL_TIMEOUT)) < 0) {
      scheduleStallCheck();
    } else if (attempt != null) {
      Attempt stalled = attempt;
      closeUnusable("incomplete reply", Buffer.buffer());
      stalled.end(AttemptEnd.PROTOCOL_ERROR);
    }
  }

  private void cancelStallTimer() {
    if (stallTimer != null) {
      timers.cancel(stallTimer);
      stallTimer = null;
    }
  }

  /** Closes a connection on which it cannot be told any more where the next reply begins. */
  private void closeUnusable(String reason, Buffer bytes) {
    pool.limitedLog()
        .warn(
            () ->
                "node "
                    + pool.address()
                    + " connection closed: "
                    + reason
                    + " '"
                    + printable(bytes)
                    + "'");
    attempt = null;
    pool.removeIdle(this);
    close();
  }

  private static String printable(Buffer bytes) {
    Buffer start = bytes.slice(0, Math.min(MAX_LOGGED_BYTES, bytes.length()));
    return MetaCommand.text(start).replaceAll("[^ -~]", "?");
  }
}
