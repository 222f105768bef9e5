package pathgw.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pathgw.fixture.NetworkFixture;
import pathgw.transport.Connection;
import pathgw.transport.FakeConnection;

/** Tests the requests that a proxy sends through itself before it serves clients. */
class WarmUpTest extends NetworkFixture {
  private List<Connection> waitingClients;

  private WarmUp warmUp() {
    WarmUp warmUp = new WarmUp(timers, CONFIG, WarmUp.DEFAULT_ROUNDS, this::dial);
    warmUp
        .run(1)
        .onSuccess(
            waiting -> {
              waitingClients = new ArrayList<>();
              waiting.forEach(waitingClients::add);
            });
    return warmUp;
  }

  @Test
  void clientFromPortOfOwnConnectionIsNotTakenForOwn() {
    WarmUp warmUp = warmUp();
    FakeConnection client = new FakeConnection();
    client.from = "127.9.0.1";
    warmUp.accept(client, 2);
    client.deliver("mn\r\n");
    assertEquals("", client.written.toString());
  }

  @Test
  void stuckWarmUpEndsAtDeadlineAndHandsOverWaitingClients() {
    WarmUp warmUp = warmUp();
    FakeConnection client = new FakeConnection();
    client.from = "127.9.0.1";
    warmUp.accept(client, 2);
    advanceMillis(5000);
    assertEquals(1, waitingClients.size());
    assertTrue(
        warmUp.isOwnConnection(new FakeConnection()),
        "a connection that it dialled itself is no client");
    assertFalse(warmUp.isOwnConnection(waitingClients.get(0)));
  }

  @Test
  void nothingIsWrittenWhereOwnAddressLeadsElsewhereAndStartContinues() {
    warmUp();
    advanceMillis(300);
    assertEquals(List.of(""), dialled.stream().map(s -> s.written.toString()).toList());
    assertTrue(dialled.get(0).closed);
    assertEquals(List.of(), waitingClients);
  }

  @Test
  void startContinuesSoonAfterOwnAddressConnectedElsewhere() {
    warmUp();
    runForMillis(60);
    assertEquals(List.of(), waitingClients);
  }

  @Test
  void clientsOverLimitDoNotWaitForWarmUpButOwnConnectionsDo() {
    WarmUp warmUp = warmUp();
    List<FakeConnection> connections = new ArrayList<>();
    for (String from : new String[] {"127.9.0.1", "127.9.0.2", "127.9.0.3", "127.0.0.1"}) {
      connections.add(new FakeConnection());
      connections.get(connections.size() - 1).from = from;
    }
    assertEquals(
        List.of(true, true, false, true),
        connections.stream().map(s -> warmUp.accept(s, 2)).toList());
  }
}
