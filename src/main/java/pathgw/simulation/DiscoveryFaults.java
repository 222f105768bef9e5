package pathgw.simulation;

import java.time.Duration;
import java.util.List;
import pathgw.fake.discovery.FakeDiscovery;
import pathgw.simulation.cluster.Cluster;
import pathgw.simulation.cluster.EndpointHealth;
import pathgw.simulation.cluster.RunEnvironment;
import pathgw.simulation.cluster.SimulatedDiscovery;
import pathgw.simulation.cluster.SimulatedNode;
import pathgw.simulation.scenario.Fault;

/** Injects faults of the discovery service and of the endpoint list. */
final class DiscoveryFaults {
  /** The time within which all nodes of one fault are listed as draining. */
  private static final long DRAIN_LISTING_SPREAD_NANOS = 1_000_000_000L;

  private final SimulatedDiscovery discovery;
  private final RunEnvironment environment;
  private final FaultTimer timer;

  DiscoveryFaults(Cluster cluster, FaultTimer timer) {
    this.timer = timer;
    discovery = cluster.discovery();
    environment = cluster.environment();
  }

  /** Injects a fault of discovery or of the endpoint list. */
  void inject(Fault fault) {
    FakeDiscovery service = discovery.service();
    switch (fault.kind()) {
      case LIST_LATE ->
          timer.apply(fault, delayMs -> service.setMaxDelay(Duration.ofMillis((long) delayMs)), 0);
      case LIST_DOWN -> {
        discovery.markUnreachable(fault);
        timer.apply(fault, () -> service.setDown(true), () -> service.setDown(false));
      }
      case LIST_REFUSES -> timer.apply(fault, service::setRefusalProbability, 0);
      case LIST_ENDS -> service.closeConnections();
      case LIST_SILENT -> discovery.silenceWatches(fault.magnitude());
      case LIST_DRAINS -> listAsDraining(fault);
      default -> throw new IllegalArgumentException("not a fault of discovery: " + fault);
    }
  }

  /** Lists a share of the nodes as draining although they continue to serve. */
  private void listAsDraining(Fault fault) {
    List<SimulatedNode> nodes = environment.members().activeNodes().toList();
    int count = (int) Math.ceil(nodes.size() * Math.min(1, fault.magnitude()));
    for (int i = 0; i < count; i++) {
      SimulatedNode node = nodes.get(i);
      environment.afterNanos(
          i * DRAIN_LISTING_SPREAD_NANOS / count,
          () -> {
            node.markLeaving();
            discovery.publish(node, EndpointHealth.DRAINING);
          });
    }
  }
}
