package pathgw.decision;

/**
 * What is measured over all nodes of one machine kind: a single proxy sends too little to any one
 * node to learn it of each.
 */
final class MachineKindStats {
  /** The share of answers that come late against the latency objective. */
  double lateShare;

  /** The fraction of their keys that nodes of this kind keep. */
  double keyFraction = 1;
}
