package pathgw.decision;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * The nodes named by the endpoint list, ordered by id, and the end of the lease under which the
 * list is valid. It makes no decisions.
 */
final class EndpointTable {
  /** The end of the lease as long as none has been set. */
  private static final Duration LEASE_UNLIMITED = Duration.ofDays(36_500);

  /**
   * The end of the lease on the endpoint list. Until then no cache node can have left without this
   * proxy being informed.
   */
  Duration leaseEndsAt = LEASE_UNLIMITED;

  private final int originKind;
  private final TreeMap<Long, NodeState> nodes = new TreeMap<>();
  private List<NodeState> ready = new ArrayList<>();
  private NodeState origin;

  /** Incremented whenever the ready nodes are determined anew. */
  private long version;

  private boolean updateIsComplete;

  EndpointTable(int originKind) {
    this.originKind = originKind;
  }

  /**
   * Begins an update. An update that is not stale readmits excluded nodes, and a complete one
   * removes the nodes that it does not name.
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

  /** Returns the node, which is added if the list has not named it before. */
  NodeState getOrAdd(long id) {
    return nodes.computeIfAbsent(id, NodeState::new);
  }

  /** Returns the node, or null if the list has not named it. */
  NodeState get(long id) {
    return nodes.get(id);
  }

  /** Ends an update and removes nodes that are gone and have no attempts in flight. */
  void endUpdate() {
    if (updateIsComplete) {
      nodes.values().stream().filter(n -> !n.listed).forEach(n -> n.state = EndpointState.GONE);
    }
    nodes.values().removeIf(EndpointTable::isRemovable);
  }

  /** Removes the node if it is gone and has no attempts in flight. */
  void removeIfUnused(NodeState node) {
    if (isRemovable(node)) {
      nodes.remove(node.id, node);
    }
  }

  private static boolean isRemovable(NodeState node) {
    return node.state == EndpointState.GONE && node.inFlight == 0;
  }

  /** Determines the ready nodes anew, which invalidates earlier rankings. */
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

  /** Returns the cache nodes that are ready and not excluded, ordered by id. */
  List<NodeState> ready() {
    return ready;
  }

  /** Returns the even share of a total for one ready node. */
  double perNode(double total) {
    return total / Math.max(1, ready.size());
  }

  /** Returns the origin, or null if the list names none that is ready. */
  NodeState origin() {
    return origin;
  }

  boolean isOrigin(NodeState node) {
    return originKind >= 0 && node.kind == originKind;
  }

  /** Returns a number that changes whenever {@link #ready} may have changed. */
  long version() {
    return version;
  }
}
