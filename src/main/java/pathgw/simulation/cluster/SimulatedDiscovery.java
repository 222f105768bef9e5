package pathgw.simulation.cluster;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import pathgw.config.Address;
import pathgw.fake.discovery.EndpointEntry;
import pathgw.fake.discovery.FakeDiscovery;
import pathgw.simulation.network.VirtualConnection;
import pathgw.simulation.network.VirtualProcess;
import pathgw.simulation.scenario.Fault;

/**
 * The discovery service of one run, and the rule by when a proxy counts as notified of a change.
 */
public final class SimulatedDiscovery {
  /** A proxy that could reach discovery for this long counts as notified. */
  private static final Duration NOTIFICATION_LIMIT = Duration.ofSeconds(6);

  private static final long FOREVER_NANOS = Long.MAX_VALUE / 2;
  private static final int PORT = 8500;
  private static final String FIRST_HOST = "10.2.0.1";
  private static final String SECOND_HOST = "10.2.0.2";

  /** After a move, connections to the old address are closed this much later. */
  private static final long OLD_CONNECTION_CLOSE_DELAY_MS = 1500;

  private final RunEnvironment environment;
  private final VirtualProcess process;
  private final FakeDiscovery service;
  private final List<VirtualConnection> connections = new ArrayList<>();

  /** Every published change by its version. */
  private final TreeMap<Long, EndpointEntry> changes = new TreeMap<>();

  private Address address = new Address(FIRST_HOST, PORT);
  private long unreachableUntilNanos;

  SimulatedDiscovery(RunEnvironment environment) {
    this.environment = environment;
    process = environment.fakeProcess("list");
    service = new FakeDiscovery(process, environment.random("list"), new NotificationObserver());
    service.setCallsPerSecond(environment.scenario().fleet().discoveryCallsPerSecond());
  }

  /** The fake service, for faults of the service itself. */
  public FakeDiscovery service() {
    return service;
  }

  Address address() {
    return address;
  }

  void listen() {
    environment
        .network()
        .listen(
            address,
            process,
            connection ->
                FakeConnections.attach(
                    connection,
                    side -> {
                      connections.add(connection);
                      return service.accept(FakeConnections.proxyName(connection), side);
                    }));
  }

  /** Moves to the other address; connections to the old one are closed a little later. */
  void moveToOtherAddress() {
    environment.network().stopListening(address);
    String host = address.host().equals(FIRST_HOST) ? SECOND_HOST : FIRST_HOST;
    address = new Address(host, PORT);
    List<VirtualConnection> oldConnections = List.copyOf(connections);
    connections.clear();
    listen();
    environment.afterMillis(
        OLD_CONNECTION_CLOSE_DELAY_MS, () -> oldConnections.forEach(VirtualConnection::close));
  }

  /** Lists a node that is there from the start, of which proxies know from their configuration. */
  void publishInitially(EndpointEntry entry) {
    service.update(entry);
  }

  /** Lists a node with a new health. */
  public void publish(SimulatedNode node, EndpointHealth health) {
    service.update(node.entry(health));
    long version = service.version();
    EndpointEntry entry = node.entry(health);
    changes.put(version, entry);
    Change change = new Change(entry, version, environment.now());
    environment.members().proxies().forEach(proxy -> assumeNotifiedIfWatchSilent(proxy, entry));
    if (health != EndpointHealth.READY) {
      environment.afterNanos(
          NOTIFICATION_LIMIT.toNanos(),
          () -> environment.members().proxies().forEach(proxy -> assumeNotified(proxy, change)));
    }
  }

  /** Lists a node with a new health after a delay, unless it was started anew by then. */
  public void publishLater(SimulatedNode node, EndpointHealth health, long delayMs) {
    VirtualProcess initialProcess = node.process;
    environment.afterMillis(
        delayMs,
        () -> {
          if (node.process == initialProcess) {
            publish(node, health);
          }
        });
  }

  private record Change(EndpointEntry entry, long version, long publishedAtNanos) {}

  /**
   * A proxy counts as notified of a change once it ran, and discovery was reachable, for {@link
   * #NOTIFICATION_LIMIT}, whatever became of its calls. A change that was reverted by then does not
   * count, since nobody can be notified of it any more.
   */
  private void assumeNotified(SimulatedProxy proxy, Change change) {
    EndpointEntry entry = change.entry;
    if (proxy.process.isDead() || !service.hasHealth(entry.host(), entry.health())) {
      return;
    }
    long reachableSinceNanos =
        Math.max(change.publishedAtNanos, Math.max(unreachableUntilNanos, proxy.startedAtNanos));
    long remainingNanos = reachableSinceNanos + NOTIFICATION_LIMIT.toNanos() - environment.now();
    if (remainingNanos <= 0) {
      environment
          .checker()
          .assumeNotified(proxy.number, entry.host(), entry.health(), change.version);
    } else if (unreachableUntilNanos < FOREVER_NANOS) {
      environment.afterNanos(remainingNanos, () -> assumeNotified(proxy, change));
    }
  }

  /**
   * Silences a share of the open watches. What a silent watch misses counts as notified after
   * {@link #NOTIFICATION_LIMIT}: every change, and also for a proxy whose polls were rejected.
   */
  public void silenceWatches(double share) {
    service.silenceWatches(share);
    environment.afterNanos(
        NOTIFICATION_LIMIT.toNanos(),
        () -> environment.members().proxies().forEach(this::assumeCurrentChangesNotified));
  }

  private void assumeCurrentChangesNotified(SimulatedProxy proxy) {
    for (EndpointEntry entry : changes.values()) {
      if (service.hasHealth(entry.host(), entry.health())) {
        assumeNotifiedIfWatchSilent(proxy, entry);
      }
    }
  }

  private void assumeNotifiedIfWatchSilent(SimulatedProxy proxy, EndpointEntry entry) {
    Duration silentSince = service.silentSince(proxy.name());
    if (silentSince != null
        && !proxy.process.isDead()
        && proxy.startedAtNanos < silentSince.toNanos()
        && silentSince.plus(NOTIFICATION_LIMIT).toNanos() <= environment.now()) {
      environment
          .checker()
          .assumeNotified(proxy.number, entry.host(), entry.health(), service.version());
    }
  }

  /** Nobody can count as notified while discovery is down, since it cannot be reached. */
  public void markUnreachable(Fault fault) {
    unreachableUntilNanos =
        fault.isPermanent()
            ? FOREVER_NANOS
            : Math.max(
                unreachableUntilNanos,
                environment.now() + fault.activeMs() * RunEnvironment.NANOS_PER_MILLI);
  }

  /** The proxy's next process will start with the list as it is now. */
  void saveListForRestart(SimulatedProxy proxy) {
    // A complete list is many events of one version; the proxy knows no more after the second.
    if (proxy.lastKnownList != null && proxy.lastKnownVersion == service.version()) {
      return;
    }
    proxy.lastKnownList = service.completeListJson();
    proxy.lastKnownVersion = service.version();
    Map<String, String> healthByHost = new LinkedHashMap<>();
    service.entries().forEach(entry -> healthByHost.put(entry.host(), entry.health()));
    proxy.lastKnownHealth = healthByHost;
  }

  private final class NotificationObserver extends ForwardingObserver {
    NotificationObserver() {
      super(environment.checker());
    }

    @Override
    public void endpointNotified(String proxy, String host, String health, long version) {
      super.endpointNotified(proxy, host, health, version);
      if (host.isEmpty() || !health.isEmpty()) {
        saveListForRestart(environment.members().proxyNamed(proxy));
      }
    }
  }
}
