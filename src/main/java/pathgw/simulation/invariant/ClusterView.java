package pathgw.simulation.invariant;

/** What the rules have to know about the virtual processes; times are virtual nanoseconds. */
public interface ClusterView {
  /** When the proxy's current process was started. */
  long startedAtNanos(int proxy);

  /** The end of the last stall of the proxy's event loop; 0 if it never stalled. */
  long stalledUntilNanos(int proxy);

  /** Whether the proxy's current process has ended. */
  boolean isDead(int proxy);

  /** Whether this is a cache node that is still warming up. */
  boolean isWarmingUp(String target);

  /** The zone of a cache node; 0 for the origin. */
  int zone(String target);

  /** The failure domain of a cache node (the scenario text's {@code cell}); 0 for the origin. */
  int failureDomain(String target);
}
