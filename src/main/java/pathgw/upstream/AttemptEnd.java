package pathgw.upstream;

import pathgw.codec.ReplyStatus;
import pathgw.decision.AttemptOutcome;

/**
 * Every way in which an attempt can end on its connection, and what that means to the module.
 * Whether it may have run turns on one thing: was its last byte written before the connection went?
 */
public enum AttemptEnd {
  ANSWERED(AttemptOutcome.SERVED),
  MISS(AttemptOutcome.MISS),
  FAILED(AttemptOutcome.ERROR),
  REJECTED(AttemptOutcome.REJECTED),
  CONNECT_REFUSED(AttemptOutcome.CONNECT_FAILED),
  CONNECT_TOO_LONG(AttemptOutcome.CONNECT_FAILED),
  BROKE_BEFORE_LAST_BYTE(AttemptOutcome.CONNECT_FAILED),
  BROKE_AFTER_LAST_BYTE(AttemptOutcome.CONNECTION_LOST),
  /** What came is no answer to this request, whatever it is; the connection is closed. */
  PROTOCOL_ERROR(AttemptOutcome.CONNECTION_LOST),
  SILENT(AttemptOutcome.TIMED_OUT),
  TIMED_OUT_BEFORE_LAST_BYTE(AttemptOutcome.NOT_SENT),
  CANCELLED(AttemptOutcome.CANCELLED),
  CANCELLED_BEFORE_LAST_BYTE(AttemptOutcome.NOT_SENT),
  /** The connection was up after the module's last time for sending. */
  TOO_LATE_TO_SEND(AttemptOutcome.NOT_SENT),
  /** Before the connection was up the request was over, or its client had gone. */
  REQUEST_OVER(AttemptOutcome.NOT_SENT),
  /** Before the connection was up the list told that the node drains or is gone. */
  NODE_LEAVING(AttemptOutcome.NOT_SENT),
  /** Out of sockets here, or no such node any more: that says nothing about the node. */
  NOT_TRIED(AttemptOutcome.NOT_SENT);

  /** The end that a complete reply makes. */
  static AttemptEnd of(ReplyStatus status) {
    return switch (status) {
      case ANSWERED -> ANSWERED;
      case MISS -> MISS;
      case FAILED -> FAILED;
      case REJECTED -> REJECTED;
      case MALFORMED -> PROTOCOL_ERROR;
    };
  }

  private final AttemptOutcome how;

  AttemptEnd(AttemptOutcome how) {
    this.how = how;
  }

  public AttemptOutcome how() {
    return how;
  }
}
