package pathgw.server;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import pathgw.client.ClientConnection;
import pathgw.observability.RateLimitedLog;
import pathgw.transport.Connection;

/**
 * The connections of clients: which are admitted, which are closed to admit others, and which are
 * rejected. Their number is bounded by {@link ConnectionLimits#maxClientConnections()}.
 */
final class ClientRegistry {
  private static final Duration MIN_IDLE_OF_SURPLUS = Duration.ofMillis(100);

  /** A connection younger than this may have a first command that has not been read. */
  private static final Duration FIRST_COMMAND_WINDOW = Duration.ofMillis(10);

  /**
   * A response written so long ago has reached a client that reads: a reset no longer discards it.
   */
  private static final Duration RESPONSE_DELIVERY_TIME = Duration.ofMillis(100);

  /** Clients that would miss their connection least come first, and of those the longest idle. */
  private static final Comparator<ClientConnection> EVICTION_ORDER =
      Comparator.comparing(ClientConnection::standing).thenComparing(ClientConnection::idleSince);

  /** Serves a connection; the second argument is called once it has ended. */
  interface ClientFactory {
    ClientConnection create(Connection connection, Consumer<ClientConnection> onEnd);
  }

  private final Set<ClientConnection> clients = new LinkedHashSet<>();
  private final ConnectionLimits limits;
  private final ClientFactory factory;
  private final RateLimitedLog log;
  private boolean draining;

  ClientRegistry(ConnectionLimits limits, ClientFactory factory, RateLimitedLog log) {
    this.limits = limits;
    this.factory = factory;
    this.log = log;
  }

  /** Admits a connection, if need be in the place of an idle one, or rejects it. */
  void accept(Connection connection) {
    closeSurplus();
    if (draining) {
      reject(connection, "shutting down", limits.maxClientConnections());
    } else if (clients.size() >= limits.maxClients() && !evict()) {
      String reason = "limit of " + limits.maxClients() + " clients reached";
      reject(connection, reason, limits.maxClientConnections());
    } else {
      add(connection);
    }
  }

  /** Rejects a connection for which there is no place to wait until the proxy serves. */
  void rejectDuringWarmUp(Connection connection) {
    String reason = "limit of " + limits.maxClients() + " clients reached before the start";
    reject(connection, reason, ConnectionLimits.MAX_REJECTED_CLIENTS);
  }

  private void reject(Connection connection, String reason, int maxConnections) {
    if (clients.size() >= maxConnections) {
      log.tell(() -> "client connection closed without a response: " + reason);
      connection.close();
    } else {
      log.tell(() -> "client connection rejected: " + reason);
      add(connection).turnAway();
    }
  }

  private ClientConnection add(Connection connection) {
    ClientConnection client = factory.create(connection, clients::remove);
    clients.add(client);
    return client;
  }

  /**
   * Closes a connection between commands, whose client reconnects when it needs one.
   *
   * @return whether a new client may be admitted in its place
   */
  private boolean evict() {
    Optional<ClientConnection> idle = evictable();
    if (idle.isPresent()) {
      // Removed at once: its end is reported later, and until then it would be chosen again.
      clients.remove(idle.get());
      idle.get().makeRoom();
      return true;
    }
    Optional<ClientConnection> closing =
        clients.size() >= limits.maxClientConnections() ? Optional.empty() : recentlyServed();
    closing.ifPresent(ClientConnection::endBetweenCommands);
    return closing.isPresent();
  }

  /** The client that can be closed at once without loss of a command or of a response. */
  private Optional<ClientConnection> evictable() {
    return clients.stream().filter(ClientRegistry::canBeReset).min(EVICTION_ORDER);
  }

  private static boolean canBeReset(ClientConnection client) {
    boolean neverAsked = client.standing() == ClientConnection.SILENT;
    return client.idleFor(neverAsked ? FIRST_COMMAND_WINDOW : RESPONSE_DELIVERY_TIME);
  }

  /** The client to close gracefully, since its last response may still be on the network. */
  private Optional<ClientConnection> recentlyServed() {
    return clients.stream()
        .filter(
            client ->
                client.standing() == ClientConnection.ASKED && client.idleFor(FIRST_COMMAND_WINDOW))
        .min(EVICTION_ORDER);
  }

  /**
   * The clients to close so that new ones find a place. Well-behaved clients open no connection
   * beyond a third of the descriptors, those left open included: where many send one command and
   * stay connected, the next would find none. So the ones idle longest go before that third is
   * full.
   */
  static List<ClientConnection> surplus(Collection<ClientConnection> clients, int maxIdle) {
    List<ClientConnection> served =
        clients.stream().filter(c -> c.standing() == ClientConnection.ASKED).toList();
    if (served.size() <= maxIdle) {
      return List.of();
    }
    // Several at a time, since this is called for each new connection.
    return served.stream()
        .filter(c -> c.idleFor(MIN_IDLE_OF_SURPLUS))
        .sorted(Comparator.comparing(ClientConnection::idleSince))
        .limit(served.size() - maxIdle + maxIdle / 8)
        .toList();
  }

  /** Closes the clients that have been idle longest where too many stay connected. */
  void closeSurplus() {
    surplus(clients, limits.maxIdleClients()).forEach(ClientConnection::endBetweenCommands);
  }

  /** Calls the action with each client; the action may close it. */
  void forEach(Consumer<ClientConnection> action) {
    List.copyOf(clients).forEach(action);
  }

  /** Rejects new clients from now on, and ends the others once their commands are answered. */
  void drain() {
    draining = true;
    forEach(ClientConnection::endBetweenCommands);
  }

  /** Whether no connection is left that awaits a response. */
  boolean allEnded() {
    return clients.stream().allMatch(ClientConnection::ended);
  }

  int size() {
    return clients.size();
  }
}
