package pathgw.fake.server;

/**
 * What goes wrong at a server at present; may be changed at any time. Each share is the probability
 * for one request, 0 to 1.
 */
public final class FaultInjection {
  /** How many times its usual time work takes. */
  public double slowdownFactor = 1;

  /** Requests that run and are answered with an error. */
  public double errorProbability;

  /** Requests that are rejected without running. */
  public double rejectionProbability;

  /** Requests whose connection is reset after the command arrived, before or after it runs. */
  public double resetProbability;

  /** Requests whose connection is closed when the command arrives; it does not run. */
  public double closeProbability;

  /** Replies replaced by invalid bytes: noise, another request's id, cut short or endless. */
  public double corruptReplyProbability;

  /** Valid replies that are followed by bytes nobody asked for. */
  public double extraBytesProbability;
}
