package pathgw.simulation;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pathgw.fake.client.ClientBehavior;
import pathgw.fake.server.FaultInjection;
import pathgw.simulation.cluster.Cluster;
import pathgw.simulation.cluster.RunEnvironment;
import pathgw.simulation.cluster.SimulatedNode;
import pathgw.simulation.cluster.SimulatedProxy;
import pathgw.simulation.network.VirtualNetwork;
import pathgw.simulation.scenario.Fault;

/** Injects the faults of a scenario, each into the part of the cluster that it affects. */
final class FaultInjector {
  private static final double NANOS_PER_MILLI = 1e6;

  private final Cluster cluster;
  private final RunEnvironment environment;
  private final FaultTimer timer;
  private final NodeFaults nodeFaults;
  private final ProxyFaults proxyFaults;
  private final DiscoveryFaults discoveryFaults;
  private final Map<String, Long> counts = new LinkedHashMap<>();

  FaultInjector(Cluster cluster) {
    this.cluster = cluster;
    environment = cluster.environment();
    timer = new FaultTimer(environment);
    nodeFaults = new NodeFaults(cluster, timer);
    proxyFaults = new ProxyFaults(cluster);
    discoveryFaults = new DiscoveryFaults(cluster, timer);
  }

  /** Returns how many faults of each kind were injected, by the kind's word in scenario files. */
  Map<String, Long> counts() {
    return counts;
  }

  /** Injects a fault now. */
  @SuppressWarnings("EnumOrdinal") // The ordinal is part of the digest.
  void inject(Fault fault) {
    long now = environment.now();
    environment.trace().addToDigest(now, fault.kind().ordinal());
    environment.trace().addLine(now, fault::toString);
    counts.merge(fault.kind().word(), 1L, Long::sum);
    switch (fault.kind().scope()) {
      case NODE -> nodeFaults.inject(fault, targetNode(fault));
      case PROXY -> proxyFaults.inject(fault, targetProxy(fault));
      case CLUSTER -> injectClusterWide(fault);
    }
  }

  private SimulatedNode targetNode(Fault fault) {
    int initialNodes = environment.scenario().nodes();
    return environment.members().nodes().get(fault.target() % initialNodes);
  }

  private SimulatedProxy targetProxy(Fault fault) {
    List<SimulatedProxy> proxies = environment.members().proxies();
    return proxies.get(fault.target() % proxies.size());
  }

  private void injectClusterWide(Fault fault) {
    switch (fault.kind()) {
      case GROWS -> cluster.nodes().addColdNode();
      case DEPLOY -> nodeFaults.deploy(fault);
      case ZONE_LOST -> nodeFaults.loseZone(fault);
      case ZONE_SILENT -> nodeFaults.cutOffZone(fault);
      case RESTART -> proxyFaults.restartShare(fault);
      case HANGUP -> cluster.proxies().moveDiscovery();
      case ORIGIN_SLOW, ORIGIN_FAILS, ORIGIN_SPOILS, ORIGIN_RESETS -> injectAtOrigin(fault);
      case PEERS_LOSE, PEERS_LATE -> injectInGossip(fault);
      case BURST, HOT, GREED, LEAVE -> injectAtClients(fault);
      default -> discoveryFaults.inject(fault);
    }
  }

  private void injectAtOrigin(Fault fault) {
    FaultInjection origin = cluster.nodes().originFaults();
    switch (fault.kind()) {
      case ORIGIN_SLOW -> timer.apply(fault, factor -> origin.slowdownFactor = factor, 1);
      case ORIGIN_FAILS -> timer.apply(fault, share -> origin.errorProbability = share, 0);
      case ORIGIN_SPOILS -> timer.apply(fault, share -> origin.corruptReplyProbability = share, 0);
      case ORIGIN_RESETS -> timer.apply(fault, share -> origin.resetProbability = share, 0);
      default -> throw new IllegalArgumentException("not a fault of the origin: " + fault);
    }
  }

  private void injectInGossip(Fault fault) {
    VirtualNetwork network = environment.network();
    switch (fault.kind()) {
      case PEERS_LOSE -> timer.apply(fault, share -> network.setDatagramFaults(share, 0), 0);
      case PEERS_LATE ->
          timer.apply(
              fault,
              delayMs -> network.setDatagramFaults(0, (long) (delayMs * NANOS_PER_MILLI)),
              0);
      default -> throw new IllegalArgumentException("not a fault of gossip: " + fault);
    }
  }

  private void injectAtClients(Fault fault) {
    ClientBehavior clientBehavior = cluster.clients().behavior();
    double steadyRate = environment.scenario().requestsPerSecond();
    switch (fault.kind()) {
      case BURST ->
          timer.apply(fault, factor -> clientBehavior.requestsPerSecond = steadyRate * factor, 1);
      case HOT -> timer.apply(fault, share -> clientBehavior.hotKeyShare = share, 0);
      case GREED -> timer.apply(fault, factor -> clientBehavior.firstTenantWeight = factor, 1);
      case LEAVE -> timer.apply(fault, share -> clientBehavior.abandonedShare = share, 0);
      default -> throw new IllegalArgumentException("not a fault of clients: " + fault);
    }
  }
}
