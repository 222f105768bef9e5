package pathgw.simulation;

import java.util.List;
import pathgw.simulation.cluster.Cluster;
import pathgw.simulation.cluster.RunEnvironment;
import pathgw.simulation.cluster.SimulatedProxy;
import pathgw.simulation.scenario.Fault;

/** Injects faults of a single proxy or of many proxies at once. */
final class ProxyFaults {
  private final Cluster cluster;
  private final RunEnvironment environment;

  ProxyFaults(Cluster cluster) {
    this.cluster = cluster;
    environment = cluster.environment();
  }

  /** Injects a fault of a single proxy. */
  void inject(Fault fault, SimulatedProxy proxy) {
    switch (fault.kind()) {
      case KILLED -> killAndRestart(proxy, fault);
      case STOPPED -> stopAndRestart(proxy, fault);
      case STANDS_STILL ->
          proxy
              .process()
              .stallUntil(environment.now() + fault.activeMs() * RunEnvironment.NANOS_PER_MILLI);
      default -> throw new IllegalArgumentException("not a fault of a proxy: " + fault);
    }
  }

  private void killAndRestart(SimulatedProxy proxy, Fault fault) {
    if (!proxy.process().isDead()) {
      cluster.proxies().killAndRestart(proxy, fault.activeMs());
    }
  }

  private void stopAndRestart(SimulatedProxy proxy, Fault fault) {
    if (proxy.isServingNormally()) {
      cluster.proxies().stopAndRestart(proxy, fault.activeMs());
    }
  }

  /** Kills a share of the proxies at once and restarts them. */
  void restartShare(Fault fault) {
    List<SimulatedProxy> proxies = environment.members().proxies();
    int count = (int) (proxies.size() * Math.min(1, fault.magnitude()));
    for (SimulatedProxy proxy : proxies.subList(0, count)) {
      killAndRestart(proxy, fault);
    }
  }
}
