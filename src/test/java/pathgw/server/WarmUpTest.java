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

/** Requests that a proxy sends through itself before the first client is served. */
class WarmUpTest extends NetworkFixture {
  private List<Connection> strangers;

  private WarmUp warmUp() {
    WarmUp warmUp = new WarmUp(timers, CONFIG, WarmUp.ROUNDS, this::dial);
    warmUp
        .run(1)
        .onSuccess(
            left -> {
              strangers = new ArrayList<>();
              left.forEach(strangers::add);
            });
    return warmUp;
  }

  @Test
  void aStrangerFromAPortOfOnesOwnNumberStaysAStranger() {
    WarmUp warmUp = warmUp();
    FakeConnection stranger = new FakeConnection();
    stranger.from = "127.9.0.1";
    warmUp.arrived(stranger, 2);
    stranger.gives("mn\r\n");
    assertEquals("", stranger.written.toString());
  }

  @Test
  void aWarmUpThatIsStuckStillEndsAndHandsOverWhoWaits() {
    WarmUp warmUp = warmUp();
    FakeConnection stranger = new FakeConnection();
    stranger.from = "127.9.0.1";
    warmUp.arrived(stranger, 2);
    after(5000);
    assertEquals(1, strangers.size());
    assertTrue(warmUp.late(new FakeConnection()), "what it dialled itself is no client");
    assertFalse(warmUp.late(strangers.get(0)));
  }

  @Test
  void whereTheWayToItselfLeadsElsewhereNothingIsWrittenOnItAndTheStartGoesOn() {
    warmUp();
    after(300);
    assertEquals(List.of(""), dialled.stream().map(s -> s.written.toString()).toList());
    assertTrue(dialled.get(0).closed);
    assertEquals(List.of(), strangers);
  }

  @Test
  void onceTheWayToItselfHasComeUpElsewhereTheStartWaitsForNoMore() {
    warmUp();
    pass(60);
    assertEquals(List.of(), strangers);
  }

  @Test
  void moreThanTheLimitDoNotWaitForTheWarmUpButItsOwnDo() {
    WarmUp warmUp = warmUp();
    List<FakeConnection> sockets = new ArrayList<>();
    for (String from : new String[] {"127.9.0.1", "127.9.0.2", "127.9.0.3", "127.0.0.1"}) {
      sockets.add(new FakeConnection());
      sockets.get(sockets.size() - 1).from = from;
    }
    assertEquals(
        List.of(true, true, false, true), sockets.stream().map(s -> warmUp.arrived(s, 2)).toList());
  }
}
