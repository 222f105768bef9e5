package pathgw.simulation.cluster;

import pathgw.config.Address;
import pathgw.fake.discovery.EndpointEntry;
import pathgw.fake.server.FakeCacheNode;
import pathgw.fake.server.FaultInjection;
import pathgw.simulation.network.VirtualProcess;

/** A cache node under one name, through all its processes. */
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

  /** The zone that it runs in. */
  public int zone() {
    return number % zones;
  }

  int failureDomain() {
    return number % ClusterSettings.FAILURE_DOMAINS;
  }

  /** What goes wrong with its requests. */
  public FaultInjection faults() {
    return faults;
  }

  /** Its current process, which may be dead. */
  public VirtualProcess process() {
    return process;
  }

  /** The fake in its current process. */
  public FakeCacheNode cacheNode() {
    return cacheNode;
  }

  /** From now on it is about to leave for good. */
  public void markLeaving() {
    leaving = true;
  }

  /** Whether it is about to leave for good. */
  public boolean isLeaving() {
    return leaving;
  }

  /** Whether it runs and is not about to leave. */
  public boolean isActive() {
    return !leaving && !process.isDead();
  }

  /** Its line of the endpoint list. */
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
