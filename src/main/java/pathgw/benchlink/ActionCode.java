package pathgw.benchlink;

/** Codes of the action records in replies, under the names of the simulator's wire format. */
final class ActionCode {
  /** Fetches the whole endpoint list once. */
  static final byte REFRESH = 65;

  /** Sends a message to other instances. */
  static final byte BROADCAST_TO = 66;

  /** Fails a request, which may or may not have taken effect. */
  static final byte ABORT = 68;

  /** Subscribes to changes of the endpoint list. */
  static final byte TRACK = 69;

  /** Cancels an attempt. */
  static final byte RETRACT = 70;

  /** Closes the idle connections to a cache node. */
  static final byte DISCONNECT = 71;

  /** Starts a timer. */
  static final byte AFTER = 72;

  /** Reports that the decision engine has failed. */
  static final byte FAULT = 73;

  /** Rejects a request that never ran. */
  static final byte NOT_NOW = 75;

  /** Starts an attempt. */
  static final byte ISSUE = 76;

  private ActionCode() {}
}
