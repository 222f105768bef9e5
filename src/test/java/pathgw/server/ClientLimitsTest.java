package pathgw.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pathgw.client.ClientConnection;
import pathgw.fixture.NetworkFixture;

/** Tests how many clients may stay connected and which of them are closed first. */
class ClientLimitsTest extends NetworkFixture {
  @Test
  void clientsIdleLongestAfterCommandAreClosedFirst() {
    setReadyNodes("n1");
    List<ClientConnection> clients = new ArrayList<>();
    for (String command : new String[] {"mn\r\n", READ, "mn\r\n", "mn\r\n", ""}) {
      advanceMillis(60);
      client().deliver(command);
      clients.add(client);
    }
    advanceMillis(1);
    assertEquals(
        List.of(clients.get(0), clients.get(2)), ClientRegistry.surplusClients(clients, 2));
    assertEquals(List.of(clients.get(0)), ClientRegistry.surplusClients(clients, 3));
    assertEquals(List.of(), ClientRegistry.surplusClients(clients, 4));
  }

  @Test
  void descriptorsAreReservedForConnectionsBeingOpenedOrClosed() {
    assertEquals(256 - 40 - 16, ConnectionLimits.usableDescriptors(CONFIG));
  }
}
