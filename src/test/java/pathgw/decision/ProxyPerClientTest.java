package pathgw.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pathgw.decision.DecisionEngineFixture.START;
import static pathgw.decision.DecisionEngineFixture.ms;

import java.nio.charset.StandardCharsets;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import pathgw.algorithm.RendezvousHash;

/**
 * Tests of a deployment with one proxy for each client: hundreds of proxies, each with few
 * requests.
 */
class ProxyPerClientTest {
  private static final long[] NODES = {0, 1, 2, 3, 4};

  @Test
  void idleConnectionIsClosedOnlyWhereOpenConnectionsHaveACost() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.onePerClient(50).withEndpoints(NODES).arriveAndDecideAll(1, 0, 0, 8);
    long node = fixture.attemptedNodes.get(0);
    fixture
        .attemptEnded(1, 0, AttemptOutcome.SERVED, 5)
        .at(100)
        .arriveAndDecideAll(2, 0, 0, 9)
        .at(5_000)
        .decideAll();
    assertTrue(fixture.actions.contains("close " + node));
    DecisionEngineFixture withoutCost =
        new DecisionEngineFixture(
            false, Settings.Effect.IDEMPOTENT, Settings.DedupScope.ALL, java.util.List.of());
    withoutCost
        .withEndpoints(NODES)
        .requestArrived(1, 8)
        .decideAll()
        .attemptEnded(1, 0, AttemptOutcome.SERVED)
        .decideAll()
        .at(60_000)
        .decideAll();
    assertEquals(0, withoutCost.count("close"), "only where an open connection has a cost");
  }

  private static long score(long node, long key) {
    return RendezvousHash.score(
        RendezvousHash.prefix(node), Long.toString(key).getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void refusedConnectionExcludesNodeForAMomentWithoutPoll() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.onePerClient(50).withEndpoints(NODES).arriveAndDecideAll(1, 0, 0, 8);
    long node = fixture.attemptedNodes.get(0);
    fixture.attemptEnded(1, 0, AttemptOutcome.CONNECT_FAILED, 2);
    assertNotEquals(node, fixture.attemptedNodes.get(1));
    assertEquals(0, fixture.count("poll"));
    long otherKey =
        LongStream.iterate(9, k -> k + 1)
            .filter(
                k ->
                    LongStream.rangeClosed(1, 4)
                        .allMatch(
                            n -> RendezvousHash.compare(score(node, k), node, score(n, k), n) >= 0))
            .findFirst()
            .getAsLong();
    fixture.at(20_000).arriveAndDecideAll(2, 0, 0, otherKey);
    assertEquals(node, fixture.attemptedNodes.get(2));
  }

  @Test
  void lastOfThreeAttemptsIsKeptForOrigin() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.onePerClient(50)
            .withEndpoints(NODES)
            .arriveAndDecideAll(1, 0, 0, 8)
            .attemptEnded(1, 0, AttemptOutcome.ERROR, 5);
    fixture.attemptEnded(1, 1, AttemptOutcome.MISS, 5);
    assertEquals(3, fixture.attemptedNodes.stream().distinct().count());
    assertEquals(0L, fixture.attemptedNodes.get(2));
  }

  @Test
  void tenantOverQuotaIsAdmittedWithoutCongestion() {
    DecisionEngineFixture fixture = DecisionEngineFixture.onePerClient(10, 10).withEndpoints(NODES);
    for (int id = 1; id <= 200; id++) {
      fixture.at(id * 20L).arriveAndDecideAll(id, 0, id % 3 == 0 ? 0 : 1, id);
      fixture
          .attemptEnded(
              id, 0, id % 10 == 0 ? AttemptOutcome.CONNECTION_LOST : AttemptOutcome.SERVED, 20)
          .attemptEnded(id, 1, AttemptOutcome.CONNECTION_LOST, 20);
    }
    assertEquals(
        0,
        fixture.actions.stream().filter(s -> s.startsWith("reject") && !s.endsWith("0")).count());
  }

  @Test
  void shortRequestAvoidsNodeWithLongRequestInFlight() {
    DecisionEngineFixture fixture = DecisionEngineFixture.onePerClient(50).withEndpoints(NODES);
    for (int id = 1; id <= 20; id++) {
      fixture
          .at(id * 1000L)
          .arriveAndDecideAll(id, 0, 0, id)
          .attemptEnded(id, 0, AttemptOutcome.SERVED, 800);
    }
    fixture.at(30_000).arriveAndDecideAll(50, 0, 0, 8).arriveAndDecideAll(51, 1, 0, 8);
    assertNotEquals(fixture.attemptedNodes.get(20), fixture.attemptedNodes.get(21));
    fixture
        .attemptEnded(50, 0, AttemptOutcome.SERVED, 20)
        .at(60_000)
        .arriveAndDecideAll(52, 1, 0, 8);
    assertEquals(fixture.attemptedNodes.get(20), fixture.attemptedNodes.get(22));
  }

  @Test
  void machineKindThatIsLateMoreOftenKeepsFewerKeys() {
    DecisionEngineFixture fixture = DecisionEngineFixture.onePerClient(50).withEndpoints(0);
    fixture.engine.beginEndpointUpdate(false, false);
    LongStream.rangeClosed(1, 8)
        .forEach(
            n ->
                fixture.engine.updateEndpoint(
                    n, EndpointState.READY, null, n % 2 == 0 ? 1 : 2, 0, 0));
    fixture.engine.endEndpointUpdate();
    int sentToSlowKind = 0;
    for (int id = 1; id <= 600; id++) {
      fixture.at(id * 100L).arriveAndDecideAll(id, 0, 0, id);
      long node = fixture.attemptedNodes.get(fixture.attemptedNodes.size() - 1);
      sentToSlowKind += id > 400 && node % 2 == 0 ? 1 : 0;
      fixture.attemptEnded(id, 0, AttemptOutcome.SERVED, node % 2 == 0 && id % 3 != 0 ? 1400 : 50);
    }
    assertTrue(
        sentToSlowKind > 10 && sentToSlowKind < 80,
        sentToSlowKind + " of the last 200 requests were sent to the slow kind");
  }

  @Test
  void costHintScalesExpectedLatency() {
    RequestClassState classState = new RequestClassState();
    assertEquals(1, classState.recordCostHint(START));
    assertEquals(1, classState.recordCostHint(ms(100)));
    assertTrue(classState.recordCostHint(ms(1000)) > 3 && classState.recordCostHint(ms(1)) < 0.6);
  }

  @Test
  void congestionIsDetectedBeforeQueuedRequestsAreLost() {
    DecisionEngineFixture fixture = DecisionEngineFixture.onePerClient().withEndpoints(NODES);
    for (int id = 1; id <= 200; id++) {
      fixture.engine.requestArrived(id, 0, 0, id, ms(5000), ms(100), false, false);
    }
    fixture.decideAll().at(1_000).arriveAndDecideAll(300, 0, 0, 300);
    assertEquals(0, fixture.count("reject"));
    fixture.at(1_600).decideAll().arriveAndDecideAll(301, 0, 0, 301);
    assertTrue(
        fixture.actions.contains("reject 301"),
        "rejected 0.9 s before the first queued request ends without a response");
  }

  @Test
  void snapshotIsRestoredUnlessOutcomesWereSeenSince() {
    DecisionEngineFixture fixture = DecisionEngineFixture.onePerClient(50).withEndpoints(NODES);
    fixture.engine.restore(99, new NodeSnapshot(0, 9, 3, true));
    fixture.engine.restore(1, new NodeSnapshot(0, 9, 3, true));
    assertTrue(fixture.engine.snapshot(1).suspected());
    fixture.arriveAndDecideAll(1, 0, 0, 8).attemptEnded(1, 0, AttemptOutcome.SERVED, 5);
    long contactedNode = fixture.attemptedNodes.get(0);
    fixture.engine.restore(contactedNode, new NodeSnapshot(0, 9, 3, true));
    assertFalse(fixture.engine.snapshot(contactedNode).suspected());
    fixture
        .withEndpointUpdate(1, EndpointState.READY, ms(1))
        .withEndpointUpdate(1, EndpointState.READY, ms(50));
    assertFalse(
        fixture.engine.snapshot(1).suspected(), "a node that has restarted is no longer suspected");
    assertEquals(null, fixture.engine.snapshot(99));
  }
}
