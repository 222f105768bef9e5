package pathgw.decision;

/**
 * Statistics over all nodes of one machine kind. A single proxy sends too few requests to each node
 * to measure them per node.
 */
final class MachineKindStats {
  /** The smoothed share of responses that are late, measured against the latency objective. */
  double lateShare;

  /** The fraction of its keys that a node of this kind serves; other nodes serve the rest. */
  double keyFraction = 1;
}
