package pathgw.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** How many clients may hold a connection, and whose is closed first. */
class ClientLimitsTest extends NetworkFixture {
  @Test
  void whoAskedAndStaysGoesBeforeUsualClientsFindNoPlace() {
    nodes("n1");
    List<Client> clients = new ArrayList<>();
    for (String command : new String[] {"mn\r\n", READ, "mn\r\n", "mn\r\n", ""}) {
      after(60);
      client().gives(command);
      clients.add(client);
    }
    after(1);
    assertEquals(List.of(clients.get(0), clients.get(2)), Proxy.surplus(clients, 2));
    assertEquals(List.of(clients.get(0)), Proxy.surplus(clients, 3));
    assertEquals(List.of(), Proxy.surplus(clients, 4));
  }

  @Test
  void descriptorsAreLeftForConnectionsThatAreJustClosing() {
    assertEquals(256 - 40 - 16, Proxy.counted(CONFIG));
  }
}
