package pathgw.fake.server;

/**
 * The faults in effect at one fake server. The simulation changes the fields at any time. Each
 * probability applies to one request or reply and lies between 0 and 1.
 */
public final class FaultInjection {
  /** The factor by which requests take longer than their usual service time; 1 for no fault. */
  public double slowdownFactor = 1;

  /** The probability that a request is executed and answered with an error. */
  public double errorProbability;

  /** The probability that a request is rejected without being executed. */
  public double rejectionProbability;

  /**
   * The probability that a connection is reset after a request has arrived, before or after the
   * request is executed; also that a reply without a length is cut short by a reset.
   */
  public double resetProbability;

  /** The probability that a request is not executed and its connection is closed instead. */
  public double closeProbability;

  /**
   * The probability that a reply is corrupted: replaced by noise, given a wrong id or length,
   * truncated, or replaced by a line without an end.
   */
  public double corruptReplyProbability;

  /**
   * The probability that a valid reply is followed by extra bytes, unless the connection has
   * further pending requests.
   */
  public double extraBytesProbability;
}
