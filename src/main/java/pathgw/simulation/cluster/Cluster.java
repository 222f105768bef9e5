package pathgw.simulation.cluster;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import pathgw.fake.ConnectionHandler;
import pathgw.fake.ConnectionSide;
import pathgw.fake.client.ClientBehavior;
import pathgw.fake.client.FakeClients;
import pathgw.fake.client.RequestClass;
import pathgw.fake.client.RequestClass.Effect;
import pathgw.simulation.network.VirtualProcess;
import pathgw.simulation.scenario.Scenario;

/** All processes of one run: clients, proxies, cache nodes, origin and discovery. */
public final class Cluster {
  private static final String CLIENT_HOST = "10.4.0.1";
  private static final long CONNECT_TIMEOUT_NANOS = 1_000_000_000L;
  private static final Duration CLIENT_START_DELAY = Duration.ofMillis(300);
  private static final List<String> TENANTS = List.of("one", "two", "three");

  private final RunEnvironment environment;
  private final SimulatedDiscovery discovery;
  private final NodeLifecycle nodes;
  private final ProxyLifecycle proxies;
  private final VirtualProcess clientsProcess;
  private final FakeClients clients;

  /**
   * Builds the cluster of a scenario without starting it.
   *
   * @param traceConsumer receives a line for each event; null for no trace
   */
  public Cluster(Scenario scenario, Mutation mutation, Consumer<String> traceConsumer) {
    environment = new RunEnvironment(scenario, traceConsumer);
    clientsProcess = environment.fakeProcess("clients");
    discovery = new SimulatedDiscovery(environment);
    nodes = new NodeLifecycle(environment, discovery);
    clients = newClients(scenario);
    proxies = new ProxyLifecycle(environment, mutation, clients, discovery);
  }

  private FakeClients newClients(Scenario scenario) {
    return new FakeClients(
        clientsProcess,
        environment.random("clients"),
        this::connectClient,
        environment.checker(),
        scenario.proxies(),
        scenario.fleet().trafficSkew(),
        requestClasses(scenario),
        TENANTS,
        scenario.keys(),
        scenario.zipfExponent());
  }

  private static List<RequestClass> requestClasses(Scenario scenario) {
    boolean sharedDedupMemory = scenario.dedupScope().equals("all");
    return List.of(
        new RequestClass(
            "read", Effect.IDEMPOTENT, true, Duration.ofMillis(1400), Duration.ofMillis(600), 0.7),
        new RequestClass(
            "hold",
            Effect.IDEMPOTENCY_KEYED,
            sharedDedupMemory,
            Duration.ofMillis(900),
            Duration.ofMillis(450),
            0.2),
        new RequestClass(
            "book",
            Effect.AT_MOST_ONCE,
            false,
            Duration.ofMillis(1400),
            Duration.ofMillis(700),
            0.1));
  }

  private void connectClient(
      int proxy, Function<ConnectionSide, ConnectionHandler> acceptor, Runnable refused) {
    environment
        .network()
        .connect(
            clientsProcess,
            CLIENT_HOST,
            environment.members().proxies().get(proxy).clientAddress(),
            CONNECT_TIMEOUT_NANOS)
        .onComplete(
            connection -> FakeConnections.attach(connection, acceptor), error -> refused.run());
  }

  /** Starts the servers, then the proxies, then the clients. */
  public void start() {
    Scenario scenario = environment.scenario();
    nodes.listenAtOrigin();
    discovery.listen();
    if (!scenario.readThrough()) {
      nodes.publishOrigin();
    }
    for (int node = 0; node < scenario.nodes(); node++) {
      nodes.addWarmNode();
    }
    for (int proxy = 0; proxy < scenario.proxies(); proxy++) {
      proxies.addProxy();
    }
    ClientBehavior clientBehavior = clients.behavior();
    clientBehavior.requestsPerSecond = scenario.requestsPerSecond();
    clientBehavior.malformedPerSecond = scenario.invalidClientsPerSecond();
    clientBehavior.keptOpenShare = scenario.idleClientShare();
    clientsProcess.schedule(CLIENT_START_DELAY, clients::start);
  }

  /** Returns the state that all parts of the run share. */
  public RunEnvironment environment() {
    return environment;
  }

  /** Returns the discovery service. */
  public SimulatedDiscovery discovery() {
    return discovery;
  }

  /** Returns the lifecycle of the cache nodes and the origin. */
  public NodeLifecycle nodes() {
    return nodes;
  }

  /** Returns the lifecycle of the proxies. */
  public ProxyLifecycle proxies() {
    return proxies;
  }

  /** Returns the clients. */
  public FakeClients clients() {
    return clients;
  }
}
