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
 * The discovery service of one run. It also determines when a proxy counts as notified of a change,
 * for rule 3: no new request to a node after the notification that it is draining or gone.
 */
public final class SimulatedDiscovery {
  /** A proxy counts as notified of a change after it could reach discovery for this long. */
  private static final Duration NOTIFICATION_LIMIT = Duration.ofSeconds(6);

  private static final long FOREVER_NANOS = Long.MAX_VALUE / 2;
  private static final int PORT = 8500;
  private static final String FIRST_HOST = "10.2.0.1";
  private static final String SECOND_HOST = "10.2.0.2";

  /** After discovery has moved, it closes the connections to its old address after this delay. */
  private static final long OLD_CONNECTION_CLOSE_DELAY_MS = 1500;

  private final RunEnvironment environment;
  private final VirtualProcess process;
  private final FakeDiscovery service;
  private final List<VirtualConnection> connections = new ArrayList<>();

  /** The published changes by list version. */
  private final TreeMap<Long, EndpointEntry> changes = new TreeMap<>();

  private Address address = new Address(FIRST_HOST, PORT);
  private long unreachableUntilNanos;

  SimulatedDiscovery(RunEnvironment environment) {
    this.environment = environment;
    process = environment.fakeProcess("list");
    service = new FakeDiscovery(process, environment.random("list"), new NotificationObserver());
    service.setCallsPerSecond(environment.scenario().fleet().discoveryCallsPerSecond());
  }

  /** Returns the fake service, into which faults are injected. */
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

  /**
   * Moves the service to the other address and closes the connections to the old one after a delay.
   */
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

  /** Lists an endpoint that exists from the start, which proxies know from their configuration. */
  void publishInitially(EndpointEntry entry) {
    service.update(entry);
  }

  /** Publishes a new health of a node. */
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

  /**
   * Publishes a new health of a node after a delay, unless the node was restarted in the meantime.
   */
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
   * Treats a proxy as notified of a change once the proxy ran and discovery was reachable for
   * {@link #NOTIFICATION_LIMIT}, even if the proxy's calls failed. A change that was reverted
   * before that is skipped, since no proxy can be notified of it any more.
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
   * Leaves a share of the open watches open but silent. A proxy with a silent watch counts as
   * notified of every change after {@link #NOTIFICATION_LIMIT}, even if its polls were rejected.
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

  /** Records that proxies cannot reach discovery during a fault and so do not count as notified. */
  public void markUnreachable(Fault fault) {
    unreachableUntilNanos =
        fault.isPermanent()
            ? FOREVER_NANOS
            : Math.max(
                unreachableUntilNanos,
                environment.now() + fault.activeMs() * RunEnvironment.NANOS_PER_MILLI);
  }

  /** Saves the current endpoint list, with which the proxy's next process starts. */
  void saveListForRestart(SimulatedProxy proxy) {
    // A complete list arrives as many events with the same version; only the first needs saving.
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
