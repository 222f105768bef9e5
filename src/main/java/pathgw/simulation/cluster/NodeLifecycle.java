package pathgw.simulation.cluster;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pathgw.config.Address;
import pathgw.fake.Request;
import pathgw.fake.discovery.EndpointEntry;
import pathgw.fake.server.DedupMemory;
import pathgw.fake.server.FakeCacheNode;
import pathgw.fake.server.FakeOrigin;
import pathgw.fake.server.FaultInjection;
import pathgw.simulation.network.SimulatedTransport;
import pathgw.simulation.network.VirtualProcess;
import pathgw.simulation.scenario.Scenario;

/**
 * Starts the cache nodes and the origin, and updates the nodes' cached values when the origin
 * serves reads and writes.
 */
public final class NodeLifecycle {
  private static final Address ORIGIN_ADDRESS = new Address("10.3.0.1", 80);
  private static final String ORIGIN_NAME = "origin";
  private static final int NODE_PORT = 11211;
  private static final int NODES_PER_SUBNET = 250;
  private static final int NANOS_PER_SECOND = 1_000_000_000;

  private static final int NODE_SLOTS = 1;
  private static final int NODE_QUEUE_LENGTH = 24;
  private static final int NODE_MAX_VALUES = 4096;
  private static final double MIN_SERVICE_SECONDS = 0.004;
  private static final double MAX_SERVICE_SECONDS = 0.06;

  private static final int MIN_ORIGIN_SLOTS = 3;

  /** Number of origin slots per request/s of the steady load. */
  private static final double ORIGIN_SLOTS_PER_REQUEST_PER_SECOND = 0.01;

  private static final Duration ORIGIN_SERVICE_TIME = Duration.ofMillis(25);
  private static final int ORIGIN_QUEUE_LENGTH = 64;
  private static final int ORIGIN_MAX_CONNECTIONS = 200;
  private static final double ORIGIN_OVERLOAD_FACTOR = 2.5;
  private static final Duration ORIGIN_DOWN_TIME = Duration.ofSeconds(3);

  /** A node that crashed from overload is listed as gone after this delay. */
  private static final long CRASH_LISTING_DELAY_MS = 500;

  private final RunEnvironment environment;
  private final Scenario scenario;
  private final SimulatedDiscovery discovery;
  private final VirtualProcess originProcess;
  private final FaultInjection originFaults = new FaultInjection();
  private final FakeOrigin origin;
  private final FakeCacheNode.Parameters nodeParameters;
  private final Map<String, DedupMemory> dedupMemories = new LinkedHashMap<>();

  /** The nodes at which a read missed, by request id, until the origin serves it. */
  private final Map<String, List<SimulatedNode>> missedNodesByRequestId = new LinkedHashMap<>();

  private int allocatedAddresses;

  NodeLifecycle(RunEnvironment environment, SimulatedDiscovery discovery) {
    this.environment = environment;
    this.discovery = discovery;
    scenario = environment.scenario();
    originProcess = environment.fakeProcess(ORIGIN_NAME);
    origin =
        new FakeOrigin(
            ORIGIN_NAME,
            originProcess,
            environment.random(ORIGIN_NAME),
            environment.checker(),
            originFaults,
            originParameters(),
            new CacheUpdater());
    nodeParameters = nodeParameters();
  }

  private FakeOrigin.Parameters originParameters() {
    double slots =
        scenario.requestsPerSecond()
            * ORIGIN_SLOTS_PER_REQUEST_PER_SECOND
            * scenario.capacityFactor();
    return new FakeOrigin.Parameters(
        Math.max(MIN_ORIGIN_SLOTS, (int) Math.ceil(slots)),
        ORIGIN_SERVICE_TIME,
        ORIGIN_QUEUE_LENGTH,
        ORIGIN_MAX_CONNECTIONS,
        ClusterSettings.CONNECTION_IDLE_LIMIT,
        ORIGIN_OVERLOAD_FACTOR,
        ClusterSettings.OVERLOAD_WINDOW,
        ORIGIN_DOWN_TIME,
        Duration.ofMillis(scenario.dedupWindowMs()));
  }

  private FakeCacheNode.Parameters nodeParameters() {
    double servedPerSecond = scenario.capacityFactor() * scenario.requestsPerSecond();
    double serviceSeconds =
        Math.max(
            MIN_SERVICE_SECONDS, Math.min(MAX_SERVICE_SECONDS, scenario.nodes() / servedPerSecond));
    return new FakeCacheNode.Parameters(
        NODE_SLOTS,
        Duration.ofNanos((long) (serviceSeconds * NANOS_PER_SECOND)),
        NODE_QUEUE_LENGTH,
        scenario.fleet().maxConnectionsPerNode(),
        ClusterSettings.CONNECTION_IDLE_LIMIT,
        ClusterSettings.COLD_CAPACITY_SHARE,
        ClusterSettings.WARM_UP_TIME,
        scenario.coldCrashMultiple(),
        ClusterSettings.OVERLOAD_WINDOW,
        NODE_MAX_VALUES,
        scenario.readThrough() ? origin : null);
  }

  /** Returns the faults currently injected into the origin's request handling. */
  public FaultInjection originFaults() {
    return originFaults;
  }

  void listenAtOrigin() {
    environment
        .network()
        .listen(
            ORIGIN_ADDRESS,
            originProcess,
            connection ->
                FakeConnections.attach(
                    connection,
                    side -> origin.accept(FakeConnections.proxyName(connection), side)));
  }

  /** Adds the origin to the endpoint list, for proxies that fetch from it themselves. */
  void publishOrigin() {
    discovery.publishInitially(
        new EndpointEntry(
            ORIGIN_NAME,
            ORIGIN_ADDRESS.toString(),
            "z0",
            "origin",
            0,
            EndpointHealth.READY.word(),
            0));
  }

  /** Adds a warm node that has every key cached. */
  void addWarmNode() {
    SimulatedNode node = newNode();
    start(node, false);
    for (int key = 0; key < scenario.keys(); key++) {
      node.cacheNode.store("k" + key, 0);
    }
    discovery.publishInitially(node.entry(EndpointHealth.READY));
  }

  /** Adds a node with a cold cache and lists it as ready. */
  public void addColdNode() {
    SimulatedNode node = newNode();
    start(node, true);
    discovery.publish(node, EndpointHealth.READY);
  }

  private SimulatedNode newNode() {
    List<SimulatedNode> nodes = environment.members().nodes();
    SimulatedNode node = new SimulatedNode(nodes.size(), scenario.fleet().zones());
    nodes.add(node);
    return node;
  }

  /** Restarts a crashed node at its old address with a cold cache, and lists it as ready. */
  public void restart(SimulatedNode node) {
    start(node, true);
    discovery.publish(node, EndpointHealth.READY);
  }

  /** Restarts a crashed node at a new address with a cold cache, and lists it as ready. */
  public void restartElsewhere(SimulatedNode node) {
    node.address = null;
    restart(node);
  }

  private void start(SimulatedNode node, boolean cold) {
    VirtualProcess process = environment.fakeProcess(node.host);
    node.process = process;
    if (node.address == null) {
      node.address = newAddress();
    }
    node.startedAtUnixMs = cold ? SimulatedTransport.unixMillis(environment.events()) : 0;
    node.cacheNode =
        new FakeCacheNode(
            node.host,
            process,
            environment.random(node.host + allocatedAddresses),
            new MissObserver(node),
            node.faults(),
            nodeParameters,
            cold ? process.now() : null,
            dedupMemory(node),
            () -> crash(node, process));
    environment
        .network()
        .listen(
            node.address,
            process,
            connection ->
                FakeConnections.attach(
                    connection,
                    side -> node.cacheNode.accept(FakeConnections.proxyName(connection), side)));
  }

  private Address newAddress() {
    int subnet = allocatedAddresses % NODES_PER_SUBNET;
    int host = 1 + allocatedAddresses / NODES_PER_SUBNET;
    allocatedAddresses++;
    return new Address("10.1." + subnet + "." + host, NODE_PORT);
  }

  private DedupMemory dedupMemory(SimulatedNode node) {
    String dedupScopeKey =
        switch (scenario.dedupScope()) {
          case "zone" -> "z" + node.zone();
          case "cell" -> "c" + node.failureDomain();
          default -> "all";
        };
    return dedupMemories.computeIfAbsent(
        dedupScopeKey, first -> new DedupMemory(Duration.ofMillis(scenario.dedupWindowMs())));
  }

  private void crash(SimulatedNode node, VirtualProcess process) {
    process.kill();
    discovery.publishLater(node, EndpointHealth.GONE, CRASH_LISTING_DELAY_MS);
  }

  /**
   * Records at which nodes a read missed, so that the value is cached there once the origin serves
   * it.
   */
  private final class MissObserver extends ForwardingObserver {
    private final SimulatedNode node;

    MissObserver(SimulatedNode node) {
      super(environment.checker());
      this.node = node;
    }

    @Override
    public void cacheMissed(String target, Request command, boolean cold) {
      if (!scenario.readThrough()) {
        missedNodesByRequestId.computeIfAbsent(command.id(), id -> new ArrayList<>(1)).add(node);
      }
      super.cacheMissed(target, command, cold);
    }
  }

  /**
   * Caches a value at the nodes where its read had missed, and removes outdated values from all
   * nodes.
   */
  private final class CacheUpdater implements FakeOrigin.CacheListener {
    @Override
    public void valueFetched(Request command, int version) {
      List<SimulatedNode> missing = missedNodesByRequestId.remove(command.id());
      if (missing == null) {
        return;
      }
      for (SimulatedNode node : missing) {
        if (!node.process.isDead()) {
          node.cacheNode.store(command.key(), version);
        }
      }
    }

    @Override
    public void valueOutdated(String key) {
      for (SimulatedNode node : environment.members().nodes()) {
        if (!node.process.isDead()) {
          node.cacheNode.remove(key);
        }
      }
    }
  }
}
