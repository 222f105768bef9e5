package pathgw.decision;

/**
 * What nodes of one machine kind do: one proxy meets a single node too seldom to learn it of each.
 */
final class NodeKind {
  double late;
  double part = 1;
}
