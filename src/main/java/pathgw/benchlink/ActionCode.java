package pathgw.benchlink;

/** Codes of the action records that the decision engine uses, under the wire's names. */
final class ActionCode {
  /** Fetches the whole endpoint list once. */
  static final byte REFRESH = 65;

  /** Sends a message to other instances. */
  static final byte BROADCAST_TO = 66;

  /** Ends a request without any promise about its effect. */
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
