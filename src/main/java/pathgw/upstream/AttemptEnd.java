package pathgw.upstream;

import pathgw.codec.ReplyStatus;
import pathgw.decision.AttemptOutcome;

/**
 * Every reason for which an attempt can end, and its outcome for the decision engine. Whether the
 * request may have run depends on one thing: was its last byte written before the attempt ended?
 */
public enum AttemptEnd {
  /** A complete reply with a value, or with the receipt of a write. */
  ANSWERED(AttemptOutcome.SERVED),
  /** A complete reply that nothing is stored under the key. */
  MISS(AttemptOutcome.MISS),
  /** A complete reply with an error; the request may have run. */
  FAILED(AttemptOutcome.ERROR),
  /** A complete reply that the request was rejected and never ran. */
  REJECTED(AttemptOutcome.REJECTED),
  /** The connection could not be opened. */
  CONNECT_REFUSED(AttemptOutcome.CONNECT_FAILED),
  /** The connection was not open within the connect timeout. */
  CONNECT_TIMED_OUT(AttemptOutcome.CONNECT_FAILED),
  /** The connection was lost before the last byte of the request was written. */
  BROKE_BEFORE_LAST_BYTE(AttemptOutcome.CONNECT_FAILED),
  /** The connection was lost after the last byte of the request was written. */
  BROKE_AFTER_LAST_BYTE(AttemptOutcome.CONNECTION_LOST),
  /** What was received is not a reply to this request; the connection is closed. */
  PROTOCOL_ERROR(AttemptOutcome.CONNECTION_LOST),
  /** No complete reply came within the attempt timeout. */
  TIMED_OUT(AttemptOutcome.TIMED_OUT),
  /** The attempt timeout, or the time for sending, passed before the last byte was written. */
  TIMED_OUT_BEFORE_LAST_BYTE(AttemptOutcome.NOT_SENT),
  /** Cancelled by the decision engine after the last byte was written. */
  CANCELLED(AttemptOutcome.CANCELLED),
  /** Cancelled by the decision engine before the last byte was written. */
  CANCELLED_BEFORE_LAST_BYTE(AttemptOutcome.NOT_SENT),
  /** The connection was open only after the time by which the attempt had to be sent. */
  TOO_LATE_TO_SEND(AttemptOutcome.NOT_SENT),
  /** The request ended, or its client went, before the connection was open. */
  REQUEST_OVER(AttemptOutcome.NOT_SENT),
  /** The endpoint started draining, or was removed, before the connection was open. */
  ENDPOINT_LEAVING(AttemptOutcome.NOT_SENT),
  /**
   * The connection limit was reached, or the endpoint is unknown; says nothing about its health.
   */
  NOT_TRIED(AttemptOutcome.NOT_SENT);

  private final AttemptOutcome outcome;

  AttemptEnd(AttemptOutcome outcome) {
    this.outcome = outcome;
  }

  /** The reason that a complete reply makes. */
  static AttemptEnd of(ReplyStatus status) {
    return switch (status) {
      case ANSWERED -> ANSWERED;
      case MISS -> MISS;
      case FAILED -> FAILED;
      case REJECTED -> REJECTED;
      case MALFORMED -> PROTOCOL_ERROR;
    };
  }

  /** What the decision engine is told. */
  public AttemptOutcome outcome() {
    return outcome;
  }
}
