package pathgw.simulation.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import pathgw.simulation.invariant.ClusterView;
import pathgw.simulation.scenario.Scenario;

/** The cache nodes and proxies of one run, including those that have left. */
public final class ClusterMembers implements ClusterView {
  private final Scenario scenario;
  private final List<SimulatedNode> nodes = new ArrayList<>();
  private final List<SimulatedProxy> proxies = new ArrayList<>();

  ClusterMembers(Scenario scenario) {
    this.scenario = scenario;
  }

  /** Returns all cache nodes, indexed by number. */
  public List<SimulatedNode> nodes() {
    return nodes;
  }

  /** Returns all proxies, indexed by number. */
  public List<SimulatedProxy> proxies() {
    return proxies;
  }

  /** Returns the proxy with the given name, such as {@code p7}. */
  public SimulatedProxy proxyNamed(String name) {
    return proxies.get(parseNumber(name));
  }

  /** Returns the nodes whose process runs and that are not leaving. */
  public Stream<SimulatedNode> activeNodes() {
    return nodes.stream().filter(SimulatedNode::isActive);
  }

  /**
   * Whether another node may leave permanently: more than half of the initial number must be
   * active.
   */
  public boolean mayRemoveNode() {
    return activeNodes().count() > Math.max(1, scenario.nodes() / 2);
  }

  /** Returns the capacity of the active nodes as a multiple of the steady load. */
  public double capacityFactor() {
    double remainingShare = (double) activeNodes().count() / scenario.nodes();
    return scenario.capacityFactor() * Math.min(1, remainingShare);
  }

  @Override
  public long startedAtNanos(int proxy) {
    return proxies.get(proxy).startedAtNanos;
  }

  @Override
  public long stalledUntilNanos(int proxy) {
    return proxies.get(proxy).process.stalledUntilNanos();
  }

  @Override
  public boolean isDead(int proxy) {
    return proxies.get(proxy).process.isDead();
  }

  @Override
  public boolean isWarmingUp(String target) {
    return isNode(target) && node(target).cacheNode.isCold();
  }

  @Override
  public int zone(String target) {
    return isNode(target) ? node(target).zone() : 0;
  }

  @Override
  public int failureDomain(String target) {
    return isNode(target) ? node(target).failureDomain() : 0;
  }

  private SimulatedNode node(String name) {
    return nodes.get(parseNumber(name));
  }

  private static boolean isNode(String name) {
    return name.startsWith(SimulatedNode.NAME_PREFIX);
  }

  private static int parseNumber(String name) {
    return Integer.parseInt(name.substring(1));
  }
}
