package pathgw.fake;

/**
 * What goes wrong at a node or the origin just now; each figure but the first is a chance for each
 * request.
 */
public final class FaultInjection {
  /** How many times longer work takes. */
  public double slower = 1;

  /** Ends in an error after it ran. */
  public double fails;

  /** Turned away unseen. */
  public double busy;

  /** The connection is reset once the command is there, before it runs or after. */
  public double resets;

  /** The connection is closed under the command, which does not run. */
  public double closes;

  /** The answer is no answer: noise, another's, cut short or without end. */
  public double spoils;

  /** A good answer, and more right behind it. */
  public double extra;
}
