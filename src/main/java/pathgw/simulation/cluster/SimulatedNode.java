package pathgw.simulation.cluster;

import pathgw.config.Address;
import pathgw.fake.discovery.EndpointEntry;
import pathgw.fake.server.FakeCacheNode;
import pathgw.fake.server.FaultInjection;
import pathgw.simulation.network.VirtualProcess;

/** A cache node, which keeps its name through all restarts of its process. */
public final class SimulatedNode {
  static final String NAME_PREFIX = "n";

  final int number;
  final String host;
  Address address;
  VirtualProcess process;
  FakeCacheNode cacheNode;
  long startedAtUnixMs;
  private final int zones;
  private final FaultInjection faults = new FaultInjection();
  private boolean leaving;

  SimulatedNode(int number, int zones) {
    this.number = number;
    this.zones = zones;
    host = NAME_PREFIX + number;
  }

  /** Returns the number of the node's zone. */
  public int zone() {
    return number % zones;
  }

  int failureDomain() {
    return number % ClusterSettings.FAILURE_DOMAINS;
  }

  /** Returns the faults currently injected into the node's request handling. */
  public FaultInjection faults() {
    return faults;
  }

  /** Returns the node's current process, which may be dead. */
  public VirtualProcess process() {
    return process;
  }

  /** Returns the fake cache node in the current process. */
  public FakeCacheNode cacheNode() {
    return cacheNode;
  }

  /** Marks the node as leaving permanently. */
  public void markLeaving() {
    leaving = true;
  }

  /** Whether the node is leaving or has left permanently. */
  public boolean isLeaving() {
    return leaving;
  }

  /** Whether the node's process runs and the node is not leaving. */
  public boolean isActive() {
    return !leaving && !process.isDead();
  }

  /** Returns the node's entry in the endpoint list. */
  EndpointEntry entry(EndpointHealth health) {
    return new EndpointEntry(
        host,
        address.toString(),
        "z" + zone(),
        "std",
        failureDomain(),
        health.word(),
        startedAtUnixMs);
  }
}
