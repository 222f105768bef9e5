package pathgw.simulation.cluster;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import pathgw.config.Address;
import pathgw.config.Config;
import pathgw.fake.Request;
import pathgw.fake.RequestReader;
import pathgw.fake.client.FakeClients;
import pathgw.server.ProxyServer;
import pathgw.simulation.network.SimulatedTransport;
import pathgw.simulation.network.VirtualConnection;
import pathgw.simulation.network.VirtualProcess;

/** Starts, stops, kills and reloads the simulated proxies. */
public final class ProxyLifecycle {
  private static final Address BROADCAST_ADDRESS = new Address("10.0.255.1", 7946);

  /** The time limit of a graceful shutdown. */
  private static final long STOP_LIMIT_MS = 4500;

  /** A late shutdown is no violation if the proxy was stalled within this time before the limit. */
  private static final long STALL_ALLOWANCE_NANOS = 3_000_000_000L;

  private static final long MIN_RESTART_DELAY_MS = 1;

  private final RunEnvironment environment;
  private final Mutation mutation;
  private final FakeClients clients;
  private final SimulatedDiscovery discovery;
  private final ProxyConfigurations configurations;

  ProxyLifecycle(
      RunEnvironment environment,
      Mutation mutation,
      FakeClients clients,
      SimulatedDiscovery discovery) {
    this.environment = environment;
    this.mutation = mutation;
    this.clients = clients;
    this.discovery = discovery;
    configurations = new ProxyConfigurations(environment, discovery, BROADCAST_ADDRESS);
  }

  /** Adds the next proxy and starts it with the current endpoint list. */
  void addProxy() {
    SimulatedProxy proxy = new SimulatedProxy(environment.members().proxies().size());
    environment.members().proxies().add(proxy);
    discovery.saveListForRestart(proxy);
    start(proxy);
  }

  private void start(SimulatedProxy proxy) {
    int number = proxy.number;
    VirtualProcess process =
        new VirtualProcess(
            proxy.name(),
            environment.events(),
            exception -> environment.checker().handlerFailed(number, exception));
    proxy.process = process;
    proxy.startedAtNanos = environment.now();
    proxy.serving = false;
    proxy.stopping = false;
    Config config = parse(mutation.config(configurations.jsonFor(proxy)));
    environment.checker().proxyStarted(number, proxy.lastKnownHealth, proxy.lastKnownVersion);
    proxy.server =
        new ProxyServer(
            mutation.transport(transport(proxy), number),
            config,
            environment.scenario().warmUpRounds(),
            environment.checker().requestObserver(number));
    environment.network().runAfterDueEvents(process, () -> startServer(proxy));
  }

  private void startServer(SimulatedProxy proxy) {
    proxy
        .server
        .start()
        .onComplete(
            port -> servingStarted(proxy),
            error -> environment.checker().proxyStartFailed(proxy.number, error));
  }

  private void servingStarted(SimulatedProxy proxy) {
    proxy.serving = true;
    clients.proxyStarted(proxy.number);
    environment.trace().addLine(environment.now(), () -> proxy.name() + " started to serve");
  }

  private static Config parse(String json) {
    return Config.read(json.getBytes(StandardCharsets.UTF_8));
  }

  private SimulatedTransport transport(SimulatedProxy proxy) {
    return new SimulatedTransport(
        environment.events(),
        environment.network(),
        proxy.process,
        SimulatedProxy.host(proxy.number),
        BROADCAST_ADDRESS,
        connection -> observeConnection(proxy.number, connection));
  }

  /** Observes the commands that a proxy sends to a cache node or the origin. */
  private void observeConnection(int proxy, VirtualConnection connection) {
    String target = connection.remoteOwner().name();
    environment.checker().connectionOpened(target);
    boolean toOrigin = target.equals("origin");
    if (toOrigin || target.startsWith(SimulatedNode.NAME_PREFIX)) {
      connection.observeWrites(new CommandObserver(proxy, target, toOrigin));
    }
  }

  /**
   * Reports each complete command on a connection, with the time at which its first byte was
   * written.
   */
  private final class CommandObserver implements Consumer<Buffer> {
    private static final long NOT_STARTED = -1;

    private final int proxy;
    private final String target;
    private final RequestReader reader;
    private long startedAtNanos = NOT_STARTED;

    CommandObserver(int proxy, String target, boolean http) {
      this.proxy = proxy;
      this.target = target;
      reader =
          http
              ? RequestReader.http(this::completed, () -> {})
              : RequestReader.meta(this::completed, () -> {});
    }

    @Override
    public void accept(Buffer bytes) {
      if (startedAtNanos < 0) {
        startedAtNanos = environment.now();
      }
      reader.read(bytes);
    }

    private void completed(Request command) {
      environment.checker().attemptSent(proxy, target, command, startedAtNanos);
      startedAtNanos = NOT_STARTED;
    }
  }

  private void kill(SimulatedProxy proxy) {
    proxy.process.kill();
    proxy.serving = false;
  }

  /**
   * Kills a proxy and restarts it after a delay.
   *
   * @param delayMs delay in milliseconds, increased to at least 1
   */
  public void killAndRestart(SimulatedProxy proxy, long delayMs) {
    kill(proxy);
    environment.afterMillis(Math.max(MIN_RESTART_DELAY_MS, delayMs), () -> start(proxy));
  }

  /**
   * Shuts a proxy down gracefully and restarts it afterwards.
   *
   * @param delayMs delay between the end of the shutdown and the restart, in milliseconds
   */
  public void stopAndRestart(SimulatedProxy proxy, long delayMs) {
    VirtualProcess process = proxy.process;
    proxy.stopping = true;
    clients.proxyDraining(proxy.number);
    environment.afterMillis(STOP_LIMIT_MS, () -> checkStopped(proxy, process));
    environment
        .network()
        .runAfterDueEvents(
            process,
            () ->
                proxy
                    .server
                    .stop()
                    .onSuccess(
                        done ->
                            environment.afterNanos(
                                0, () -> shutdownCompleted(proxy, process, delayMs))));
  }

  private void checkStopped(SimulatedProxy proxy, VirtualProcess process) {
    boolean stillRuns = proxy.process == process && !process.isDead();
    boolean stalled = process.stalledUntilNanos() >= environment.now() - STALL_ALLOWANCE_NANOS;
    if (stillRuns && !stalled) {
      environment.checker().proxyStopTimedOut(proxy.number, STOP_LIMIT_MS);
    }
  }

  private void shutdownCompleted(SimulatedProxy proxy, VirtualProcess process, long delayMs) {
    if (proxy.process != process || process.isDead()) {
      return;
    }
    environment.trace().addLine(environment.now(), () -> proxy.name() + " completed its shutdown");
    kill(proxy);
    environment.afterMillis(Math.max(MIN_RESTART_DELAY_MS, delayMs), () -> start(proxy));
  }

  /** Moves discovery to another address and reloads all proxies, as after a SIGHUP. */
  public void moveDiscovery() {
    discovery.moveToOtherAddress();
    environment.members().proxies().stream()
        .filter(SimulatedProxy::isServingNormally)
        .forEach(this::reload);
  }

  private void reload(SimulatedProxy proxy) {
    Config config = parse(configurations.jsonFor(proxy));
    environment.network().runAfterDueEvents(proxy.process, () -> proxy.server.reload(config));
  }
}
