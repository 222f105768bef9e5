package pathgw.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import pathgw.algorithm.RendezvousHash;

/**
 * What has changed for a proxy that is one client's alone: hundreds of them, each with few
 * requests.
 */
class ProxyPerClientTest {
  private static final long[] NODES = {0, 1, 2, 3, 4};

  @Test
  void aConnectionThatIdlesLongerThanItPaysIsClosedAndOneUsedAgainIsNot() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.ofAClient(50).list(NODES).asks(1, 0, 0, 8);
    long node = fixture.sentTo.get(0);
    fixture.attemptEnded(1, 0, AttemptOutcome.SERVED, 5).at(100).asks(2, 0, 0, 9).at(5_000).pull();
    assertTrue(fixture.said.contains("close " + node));
    DecisionEngineFixture free =
        new DecisionEngineFixture(
            false, Settings.Effect.IDEMPOTENT, Settings.Group.ALL, java.util.List.of());
    free.list(NODES)
        .requestArrived(1, 8)
        .pull()
        .attemptEnded(1, 0, AttemptOutcome.SERVED)
        .pull()
        .at(60_000)
        .pull();
    assertEquals(
        0, free.count("close"), "where nothing is paid for it the wire's own time decides");
  }

  private static long score(long node, long key) {
    return RendezvousHash.score(
        RendezvousHash.prefix(node), Long.toString(key).getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void aRefusalDropsANodeForAMomentAndAsksNobody() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.ofAClient(50).list(NODES).asks(1, 0, 0, 8);
    long node = fixture.sentTo.get(0);
    fixture.attemptEnded(1, 0, AttemptOutcome.CONNECT_FAILED, 2);
    assertNotEquals(node, fixture.sentTo.get(1));
    assertEquals(0, fixture.count("fetch list"));
    long another =
        LongStream.iterate(9, k -> k + 1)
            .filter(
                k ->
                    LongStream.rangeClosed(1, 4)
                        .allMatch(
                            n -> RendezvousHash.compare(score(node, k), node, score(n, k), n) >= 0))
            .findFirst()
            .getAsLong();
    fixture.at(20_000).asks(2, 0, 0, another);
    assertEquals(node, fixture.sentTo.get(2));
  }

  @Test
  void withThreeAttemptsASecondCacheIsTriedAndTheOriginStillAsked() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.ofAClient(50)
            .list(NODES)
            .asks(1, 0, 0, 8)
            .attemptEnded(1, 0, AttemptOutcome.ERROR, 5);
    fixture.attemptEnded(1, 1, AttemptOutcome.MISS, 5);
    assertEquals(3, fixture.sentTo.stream().distinct().count());
    assertEquals(0L, fixture.sentTo.get(2));
  }

  @Test
  void aBusyProxyDeniesNoShareWhileNothingIsStrained() {
    DecisionEngineFixture fixture = DecisionEngineFixture.ofAClient(10, 10).list(NODES);
    for (int id = 1; id <= 200; id++) {
      fixture.at(id * 20L).asks(id, 0, id % 3 == 0 ? 0 : 1, id);
      fixture
          .attemptEnded(
              id, 0, id % 10 == 0 ? AttemptOutcome.CONNECTION_LOST : AttemptOutcome.SERVED, 20)
          .attemptEnded(id, 1, AttemptOutcome.CONNECTION_LOST, 20);
    }
    assertEquals(
        0, fixture.said.stream().filter(s -> s.startsWith("deny") && !s.endsWith("0")).count());
  }

  @Test
  void aShortRequestGoesRoundANodeThatHasALongOneOut() {
    DecisionEngineFixture fixture = DecisionEngineFixture.ofAClient(50).list(NODES);
    for (int id = 1; id <= 20; id++) {
      fixture.at(id * 1000L).asks(id, 0, 0, id).attemptEnded(id, 0, AttemptOutcome.SERVED, 800);
    }
    fixture.at(30_000).asks(50, 0, 0, 8).asks(51, 1, 0, 8);
    assertNotEquals(fixture.sentTo.get(20), fixture.sentTo.get(21));
    fixture.attemptEnded(50, 0, AttemptOutcome.SERVED, 20).at(60_000).asks(52, 1, 0, 8);
    assertEquals(fixture.sentTo.get(20), fixture.sentTo.get(22));
  }

  @Test
  void theKindThatIsLateMoreOftenKeepsAPartOfItsKeys() {
    DecisionEngineFixture fixture = DecisionEngineFixture.ofAClient(50).list(0);
    fixture.decide.beginEndpointUpdate(false, false);
    LongStream.rangeClosed(1, 8)
        .forEach(
            n ->
                fixture.decide.updateEndpoint(
                    n, EndpointState.READY, null, n % 2 == 0 ? 1 : 2, 0, 0));
    fixture.decide.endEndpointUpdate();
    int weak = 0;
    for (int id = 1; id <= 600; id++) {
      fixture.at(id * 100L).asks(id, 0, 0, id);
      long node = fixture.sentTo.get(fixture.sentTo.size() - 1);
      weak += id > 400 && node % 2 == 0 ? 1 : 0;
      fixture.attemptEnded(id, 0, AttemptOutcome.SERVED, node % 2 == 0 && id % 3 != 0 ? 1400 : 50);
    }
    assertTrue(weak > 10 && weak < 80, weak + " of 200");
  }

  @Test
  void namedWorkSetsHowLongAnAnswerMayTake() {
    RequestClassState pace = new RequestClassState();
    assertEquals(1, pace.scale(DecisionEngineFixture.START));
    assertEquals(1, pace.scale(DecisionEngineFixture.ms(100)));
    assertTrue(
        pace.scale(DecisionEngineFixture.ms(1000)) > 3
            && pace.scale(DecisionEngineFixture.ms(1)) < 0.6);
  }

  @Test
  void aCrowdIsTakenForOneBeforeThoseInItAreLost() {
    DecisionEngineFixture fixture = DecisionEngineFixture.ofAClient().list(NODES);
    for (int id = 1; id <= 200; id++) {
      fixture.decide.requestArrived(
          id,
          0,
          0,
          id,
          DecisionEngineFixture.ms(5000),
          DecisionEngineFixture.ms(100),
          false,
          false);
    }
    fixture.pull().at(1_000).asks(300, 0, 0, 300);
    assertEquals(0, fixture.count("deny"));
    fixture.at(1_600).pull().asks(301, 0, 0, 301);
    assertTrue(fixture.said.contains("deny 301"), "0.9 s before the first of them is given up");
  }

  @Test
  void whatWasLearntOfANodeGoesOnAndWhatIsSeenSinceStands() {
    DecisionEngineFixture fixture = DecisionEngineFixture.ofAClient(50).list(NODES);
    fixture.decide.restore(99, new NodeSnapshot(0, 9, 3, true));
    fixture.decide.restore(1, new NodeSnapshot(0, 9, 3, true));
    assertTrue(fixture.decide.snapshot(1).suspected());
    fixture.asks(1, 0, 0, 8).attemptEnded(1, 0, AttemptOutcome.SERVED, 5);
    long met = fixture.sentTo.get(0);
    fixture.decide.restore(met, new NodeSnapshot(0, 9, 3, true));
    assertFalse(fixture.decide.snapshot(met).suspected());
    fixture
        .change(1, EndpointState.READY, DecisionEngineFixture.ms(1))
        .change(1, EndpointState.READY, DecisionEngineFixture.ms(50));
    assertFalse(fixture.decide.snapshot(1).suspected(), "started anew");
    assertEquals(null, fixture.decide.snapshot(99));
  }
}
