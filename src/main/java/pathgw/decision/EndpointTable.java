package pathgw.decision;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * The nodes that the endpoint list names, in the order of their ids, and the lease under which the
 * list may be relied on. It chooses nothing.
 */
final class EndpointTable {
  private static final Duration LEASE_UNLIMITED = Duration.ofDays(36_500);

  /** Until when no cache node can have left unheard. */
  Duration leaseEndsAt = LEASE_UNLIMITED;

  private final int originKind;
  private final TreeMap<Long, NodeState> nodes = new TreeMap<>();
  private List<NodeState> ready = new ArrayList<>();
  private NodeState origin;
  private long version;
  private boolean updateIsComplete;

  EndpointTable(int originKind) {
    this.originKind = originKind;
  }

  /**
   * Begins an update; a fresh one lifts exclusions, a complete one removes whom it does not name.
   */
  void beginUpdate(boolean complete, boolean stale) {
    if (complete) {
      nodes.values().forEach(node -> node.listed = false);
    }
    if (!stale) {
      nodes.values().forEach(node -> node.excluded = false);
    }
    updateIsComplete = complete;
  }

  NodeState getOrAdd(long id) {
    return nodes.computeIfAbsent(id, NodeState::new);
  }

  /** The node, or null if the list has not named it. */
  NodeState get(long id) {
    return nodes.get(id);
  }

  void endUpdate() {
    if (updateIsComplete) {
      nodes.values().stream().filter(n -> !n.listed).forEach(n -> n.state = EndpointState.GONE);
    }
    nodes.values().removeIf(EndpointTable::isRemovable);
  }

  void removeIfUnused(NodeState node) {
    if (isRemovable(node)) {
      nodes.remove(node.id, node);
    }
  }

  private static boolean isRemovable(NodeState node) {
    return node.state == EndpointState.GONE && node.inFlight == 0;
  }

  /** Lists anew which nodes are ready; rankings made before are out of date. */
  void refreshReady() {
    ready = new ArrayList<>();
    origin = null;
    for (NodeState node : nodes.values()) {
      if (node.state == EndpointState.READY && isOrigin(node)) {
        origin = node;
      } else if (node.state == EndpointState.READY && !node.excluded) {
        ready.add(node);
      }
    }
    version++;
  }

  /** Cache nodes that are ready and not excluded, by id. */
  List<NodeState> ready() {
    return ready;
  }

  /** A ready node's even share of a quantity. */
  double perNode(double total) {
    return total / Math.max(1, ready.size());
  }

  /** The origin, or null if the list names none that is ready. */
  NodeState origin() {
    return origin;
  }

  boolean isOrigin(NodeState node) {
    return originKind >= 0 && node.kind == originKind;
  }

  /** Changes whenever {@link #ready} may have changed. */
  long version() {
    return version;
  }
}
