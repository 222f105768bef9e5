package pathgw.simulation;

import java.util.List;
import pathgw.fake.server.FaultInjection;
import pathgw.simulation.cluster.Cluster;
import pathgw.simulation.cluster.ClusterMembers;
import pathgw.simulation.cluster.EndpointHealth;
import pathgw.simulation.cluster.RunEnvironment;
import pathgw.simulation.cluster.SimulatedNode;
import pathgw.simulation.network.VirtualNetwork;
import pathgw.simulation.network.VirtualProcess;
import pathgw.simulation.scenario.Fault;
import pathgw.simulation.scenario.Fault.Kind;

/**
 * Injects faults of cache nodes: of a single one, of a zone, or of a share of them in a deployment.
 */
final class NodeFaults {
  private static final double NANOS_PER_MILLI = 1e6;

  /**
   * A crashed node is listed as gone after this delay plus the time of the fault modulo {@link
   * #CRASH_LISTING_SPREAD_MS}.
   */
  private static final long CRASH_LISTING_DELAY_MS = 300;

  private static final long CRASH_LISTING_SPREAD_MS = 1000;

  /** A node that was cut off is listed as gone after this delay. */
  private static final long CUT_OFF_LISTING_DELAY_MS = 1000;

  /**
   * Delays after a node is listed as draining: until it rejects requests, is listed as gone, and
   * ends.
   */
  private static final long DRAIN_REJECTION_DELAY_MS = 1000;

  private static final long DRAIN_GONE_LISTING_DELAY_MS = 2500;
  private static final long DRAIN_EXIT_DELAY_MS = 3500;

  /** The shortest time between the replacements of two nodes in a deployment. */
  private static final long MIN_DEPLOY_INTERVAL_MS = 50;

  private final Cluster cluster;
  private final RunEnvironment environment;
  private final ClusterMembers members;
  private final FaultTimer timer;

  NodeFaults(Cluster cluster, FaultTimer timer) {
    this.cluster = cluster;
    this.timer = timer;
    environment = cluster.environment();
    members = environment.members();
  }

  /** Injects a fault of a single node. */
  void inject(Fault fault, SimulatedNode node) {
    switch (fault.kind()) {
      case DIES, MOVES -> crash(node, fault);
      case FREEZES -> stall(node.process(), fault);
      case VANISHES -> cutOff(node, fault);
      case DRAINS -> drain(node);
      case FLUSHED -> node.cacheNode().flush();
      case CUTS, CONNECTS_LATE -> injectInNetwork(fault, node.process());
      default -> injectInRequests(fault, node.faults());
    }
  }

  private void stall(VirtualProcess process, Fault fault) {
    process.stallUntil(environment.now() + fault.activeMs() * RunEnvironment.NANOS_PER_MILLI);
  }

  private void injectInNetwork(Fault fault, VirtualProcess process) {
    VirtualNetwork network = environment.network();
    if (fault.kind() == Kind.CUTS) {
      timer.apply(fault, share -> network.setResetShare(process, share), 0);
    } else {
      timer.apply(
          fault,
          delayMs -> network.setMaxConnectDelay(process, (long) (delayMs * NANOS_PER_MILLI)),
          0);
    }
  }

  private void injectInRequests(Fault fault, FaultInjection node) {
    switch (fault.kind()) {
      case SLOW -> timer.apply(fault, factor -> node.slowdownFactor = factor, 1);
      case RESETS -> timer.apply(fault, share -> node.resetProbability = share, 0);
      case CLOSES -> timer.apply(fault, share -> node.closeProbability = share, 0);
      case SPOILS -> timer.apply(fault, share -> node.corruptReplyProbability = share, 0);
      case BABBLES -> timer.apply(fault, share -> node.extraBytesProbability = share, 0);
      case FAILS -> timer.apply(fault, share -> node.errorProbability = share, 0);
      case BUSY -> timer.apply(fault, share -> node.rejectionProbability = share, 0);
      default -> throw new IllegalArgumentException("not a fault of a node: " + fault);
    }
  }

  /** Crashes all nodes of a zone. */
  void loseZone(Fault fault) {
    zone(fault).forEach(node -> crash(node, fault));
  }

  /** Cuts all machines of a zone off from the network. */
  void cutOffZone(Fault fault) {
    zone(fault).forEach(node -> cutOff(node, fault));
  }

  private List<SimulatedNode> zone(Fault fault) {
    int zones = environment.scenario().fleet().zones();
    int lostZone = (int) fault.magnitude() % zones;
    return members.nodes().stream().filter(node -> node.zone() == lostZone).toList();
  }

  private void crash(SimulatedNode node, Fault fault) {
    if (!node.isActive() || (fault.isPermanent() && !members.mayRemoveNode())) {
      return;
    }
    VirtualProcess process = node.process();
    process.kill();
    long listedAfterMs = CRASH_LISTING_DELAY_MS + fault.atMs() % CRASH_LISTING_SPREAD_MS;
    cluster.discovery().publishLater(node, EndpointHealth.GONE, listedAfterMs);
    if (!fault.isPermanent()) {
      environment.afterMillis(fault.activeMs(), () -> restart(node, process, fault));
    }
  }

  private void restart(SimulatedNode node, VirtualProcess crashedProcess, Fault fault) {
    if (node.process() != crashedProcess) {
      return;
    }
    if (fault.kind() == Kind.MOVES) {
      cluster.nodes().restartElsewhere(node);
    } else {
      cluster.nodes().restart(node);
    }
  }

  private void cutOff(SimulatedNode node, Fault fault) {
    if (!node.isActive() || fault.isPermanent()) {
      return;
    }
    VirtualProcess process = node.process();
    process.cutOff();
    boolean[] reconnected = {false};
    environment.afterMillis(
        CUT_OFF_LISTING_DELAY_MS,
        () -> {
          if (!reconnected[0] && node.process() == process && !node.isLeaving()) {
            cluster.discovery().publish(node, EndpointHealth.GONE);
          }
        });
    environment.afterMillis(
        fault.activeMs(),
        () -> {
          reconnected[0] = true;
          process.reconnect();
          if (node.process() == process && node.isActive()) {
            cluster.discovery().publish(node, EndpointHealth.READY);
          }
        });
  }

  private void drain(SimulatedNode node) {
    if (!node.isActive() || node.process().isCutOff() || !members.mayRemoveNode()) {
      return;
    }
    node.markLeaving();
    VirtualProcess process = node.process();
    cluster.discovery().publish(node, EndpointHealth.DRAINING);
    environment.afterMillis(DRAIN_REJECTION_DELAY_MS, () -> node.cacheNode().drain());
    cluster.discovery().publishLater(node, EndpointHealth.GONE, DRAIN_GONE_LISTING_DELAY_MS);
    environment.afterMillis(DRAIN_EXIT_DELAY_MS, process::kill);
  }

  /** Replaces a share of the nodes by new ones, one after another. */
  void deploy(Fault fault) {
    List<SimulatedNode> oldNodes = members.activeNodes().toList();
    int count = (int) Math.ceil(oldNodes.size() * Math.min(1, fault.magnitude()));
    for (int i = 0; i < count; i++) {
      SimulatedNode oldNode = oldNodes.get(i);
      environment.afterMillis(
          i * Math.max(MIN_DEPLOY_INTERVAL_MS, fault.activeMs() / count),
          () -> {
            cluster.nodes().addColdNode();
            drain(oldNode);
          });
    }
  }
}
