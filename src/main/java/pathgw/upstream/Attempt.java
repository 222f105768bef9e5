package pathgw.upstream;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import pathgw.codec.MetaCommand;
import pathgw.transport.EventLoopTimers;

/** One attempt on its way over a connection; it ends once, whatever happens afterwards. */
public final class Attempt {
  /** Hears how an attempt ended; the answer is there for {@link AttemptEnd#ANSWERED} alone. */
  public interface Listener {
    void with(AttemptEnd end, Buffer answer);
  }

  final MetaCommand command;
  final Duration limit;
  private final Duration sendBy;
  private final EventLoopTimers timers;
  private final Listener ended;
  private final EventLoopTimers.Timer patience;
  private Runnable drop = () -> {};
  private boolean begun;
  private EventLoopTimers.Timer unsent;
  private boolean written;
  private boolean over;

  public Attempt(
      EventLoopTimers timers,
      MetaCommand command,
      Duration patience,
      Duration sendWithin,
      Listener ended) {
    this.timers = timers;
    this.command = command;
    this.ended = ended;
    limit = timers.now().plus(patience);
    sendBy = timers.now().plus(sendWithin);
    this.patience =
        timers.scheduleAt(
            limit, () -> giveUp(AttemptEnd.SILENT, AttemptEnd.TIMED_OUT_BEFORE_LAST_BYTE));
  }

  /**
   * @param drop ends what carries this passage, so that its answer can meet no other
   */
  void carriedBy(Runnable drop) {
    this.drop = drop;
  }

  /** Whether it may still be written; if not, it has ended. */
  boolean inTimeToSend() {
    if (!over && timers.now().compareTo(sendBy) >= 0) {
      end(AttemptEnd.TOO_LATE_TO_SEND);
    }
    return !over;
  }

  /**
   * The first byte goes out now: what follows it must have gone by the last time for sending, too.
   */
  void begins() {
    begun = true;
    unsent =
        timers.scheduleAt(
            sendBy, () -> giveUp(AttemptEnd.SILENT, AttemptEnd.TIMED_OUT_BEFORE_LAST_BYTE));
  }

  void lastByteWritten() {
    written = true;
    timers.cancel(unsent);
  }

  /**
   * Nobody waits for it any more: what has not begun must not, whether or not a cancel is allowed.
   */
  public void cancelIfNotBegun() {
    if (!begun) {
      end(AttemptEnd.REQUEST_OVER);
    }
  }

  public boolean over() {
    return over;
  }

  public void end(AttemptEnd end) {
    end(end, null);
  }

  public void end(AttemptEnd end, Buffer answer) {
    if (over) {
      return;
    }
    over = true;
    timers.cancel(patience);
    if (unsent != null) {
      timers.cancel(unsent);
    }
    ended.with(end, answer);
  }

  void broken() {
    end(written ? AttemptEnd.BROKE_AFTER_LAST_BYTE : AttemptEnd.BROKE_BEFORE_LAST_BYTE);
  }

  public void cancel() {
    giveUp(AttemptEnd.CANCELLED, AttemptEnd.CANCELLED_BEFORE_LAST_BYTE);
  }

  private void giveUp(AttemptEnd afterLastByte, AttemptEnd beforeLastByte) {
    if (!over) {
      end(written ? afterLastByte : beforeLastByte);
      drop.run();
    }
  }
}
