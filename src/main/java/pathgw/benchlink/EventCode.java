package pathgw.benchlink;

/** Codes of the event records, under the names of the simulator's wire format. */
final class EventCode {
  /** An instance starts without any state. */
  static final int POWER_ON = 1;

  /** An update of the endpoint list, or a failed call for it. */
  static final int UPDATE = 2;

  /** A client's request has arrived. */
  static final int INCOMING = 3;

  /** A streamed response has started. */
  static final int UNDER_WAY = 4;

  /** An attempt has ended. */
  static final int OUTCOME = 5;

  /** A client has abandoned its request. */
  static final int LAPSED = 6;

  /** A timer has fired. */
  static final int TIMER = 7;

  /** The result of a health check. */
  static final int CHECKED = 8;

  /** A message from another instance. */
  static final int DATAGRAM = 9;

  /** An instance has been killed. */
  static final int POWER_OFF = 10;

  private EventCode() {}
}
