package pathgw.simulation.invariant;

/**
 * The state of the simulated processes that the invariants read. All times are virtual nanoseconds
 * since the run began.
 */
public interface ClusterView {
  /** The time at which the proxy's current process was started. */
  long startedAtNanos(int proxy);

  /**
   * The time at which the last stall of the proxy's event loop ended or will end; 0 if it never
   * stalled.
   */
  long stalledUntilNanos(int proxy);

  /** Whether the proxy's current process has ended. */
  boolean isDead(int proxy);

  /** Whether the target is a cache node that is still warming up. */
  boolean isWarmingUp(String target);

  /** The zone of a cache node; 0 for the origin. */
  int zone(String target);

  /**
   * The failure domain of a cache node (called {@code cell} in scenario files); 0 for the origin.
   */
  int failureDomain(String target);
}
