package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Clients that keep connections, send one command at a time, and open more when all are busy. */
final class ClientPool {
  private final int port;
  private final int maxConnections;
  private final Record record;
  private final List<Client> clients = new ArrayList<>();

  ClientPool(int port, int maxConnections, Record record) {
    this.port = port;
    this.maxConnections = maxConnections;
    this.record = record;
  }

  /** Returns a connection without an open command, or null if there may be no more. */
  Client idleConnection() throws IOException {
    clients.removeIf(client -> client.end != null);
    for (Client client : clients) {
      if (client.isIdle()) {
        return client;
      }
    }
    if (clients.size() >= maxConnections) {
      return null;
    }
    Client client = new Client(port, record);
    clients.add(client);
    return client;
  }
}
