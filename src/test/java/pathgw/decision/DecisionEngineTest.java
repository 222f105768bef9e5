package pathgw.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pathgw.decision.DecisionEngineFixture.ms;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import pathgw.decision.Settings.DedupScope;
import pathgw.decision.Settings.Effect;

/** Tests of node health, slow start, retries and polling of the endpoint list. */
class DecisionEngineTest {
  @Test
  void silentWatchIsFollowedByPollAndFailedPollsAreRetriedWithinLease() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.oneOf(100, false, 7, List.of()).withEndpoints(0, 1).decideAll();
    fixture.engine.leaseEndpointsUntil(ms(8250));
    fixture.at(2250).engine.endpointWatchSilent();
    fixture.decideAll().at(2500).decideAll();
    assertEquals(1, fixture.count("poll"));
    for (int failed = 1; failed <= 8; failed++) {
      fixture.engine.endpointCallFailed();
      fixture.decideAll().at(2500 + failed * 1500).decideAll();
      assertEquals(1 + failed, fixture.count("poll"), "the next poll follows within 1.5 s");
    }
  }

  @Test
  void slowStartBudgetHoldsWhenOtherNodesFail() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.readThrough(Effect.IDEMPOTENT)
            .withEndpoints(1, 2)
            .withEndpointUpdate(1, EndpointState.READY, Duration.ofMillis(-10));
    fixture.withEndpointUpdate(2, EndpointState.GONE, null);
    for (long id = 1; id <= 100; id++) {
      fixture.requestArrived(id, id).decideAll();
    }
    assertTrue(fixture.count("attempt") < 10);
    assertEquals(100, fixture.count("attempt") + fixture.count("reject"));
  }

  @Test
  void slowStartBudgetFollowsAnswersAndNotRequestsSent() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.readThrough(Effect.IDEMPOTENT)
            .withEndpoints(1, 2)
            .withEndpointUpdate(1, EndpointState.READY, Duration.ofMillis(-10));
    fixture.withEndpointUpdate(2, EndpointState.GONE, null);
    for (long id = 1; id <= 2000; id++) {
      fixture.at(id).requestArrived(id, id).decideAll();
    }
    assertTrue(fixture.count("attempt") < 20);
  }

  @Test
  void repeatedAndUnknownOutcomesAreIgnored() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.readThrough(Effect.IDEMPOTENT)
            .withEndpoints(1, 2)
            .requestArrived(1, 8)
            .decideAll();
    List<String> before = List.copyOf(fixture.actions);
    fixture
        .attemptEnded(1, 0, AttemptOutcome.SERVED)
        .attemptEnded(1, 0, AttemptOutcome.SERVED)
        .attemptEnded(5, 0, AttemptOutcome.CONNECTION_LOST);
    fixture.attemptEnded(1, 3, AttemptOutcome.CONNECTION_LOST).engine.requestAbandoned(77);
    assertEquals(before, fixture.decideAll().actions);
  }

  @Test
  void frozenNodeLosesMostButNotAllOfItsRequests() {
    DecisionEngineFixture fixture =
        new DecisionEngineFixture(false, Effect.IDEMPOTENT, DedupScope.ALL, List.of())
            .withEndpoints(0, 1, 2);
    long frozen = 2;
    int kept = 0;
    for (long id = 1; id <= 400; id++) {
      fixture.at(id * 10);
      fixture.requestArrived(id, 0, id, id * 10 + 900, false);
      int before = fixture.attemptedNodes.size();
      fixture.decideAll();
      boolean toFrozen =
          fixture.attemptedNodes.size() > before && fixture.attemptedNodes.get(before) == frozen;
      kept += id > 200 && toFrozen ? 1 : 0;
      fixture
          .attemptEnded(id, 0, toFrozen ? AttemptOutcome.CONNECTION_LOST : AttemptOutcome.SERVED)
          .attemptEnded(id, 1, AttemptOutcome.SERVED)
          .decideAll();
    }
    assertTrue(kept > 0 && kept < 60, "requests sent to the frozen node: " + kept);
  }

  @Test
  void hundredsOfProxiesTogetherKeepSlowStartBudget() {
    long sent = 0;
    for (long seed = 1; seed <= 500; seed++) {
      DecisionEngineFixture fixture =
          DecisionEngineFixture.oneOf(500, true, seed, List.of()).withEndpoints(1);
      fixture
          .withEndpointUpdate(1, EndpointState.READY, Duration.ofMillis(-10))
          .requestArrived(1, 8)
          .decideAll();
      sent += fixture.count("attempt");
    }
    assertTrue(sent < 50, "requests sent to the warming node: " + sent);
  }

  @Test
  void peerReportsEjectNodeAndOnlyFailuresAreGossiped() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.oneOf(500, true, 7, List.of()).withEndpoints(1, 2);
    fixture.requestArrived(1, 8).decideAll().attemptEnded(1, 0, AttemptOutcome.SERVED).decideAll();
    assertEquals(0, fixture.count("gossip"));
    long topNode = fixture.attemptedNodes.get(0);
    for (int i = 0; i < 20; i++) {
      fixture.engine.peerReported(topNode, false);
    }
    fixture.engine.peerReported(77, false);
    int kept = 0;
    for (long id = 2; id <= 41; id++) {
      fixture.requestArrived(id, 8).decideAll();
      kept += fixture.attemptedNodes.get(fixture.attemptedNodes.size() - 1) == topNode ? 1 : 0;
      fixture.engine.requestAbandoned(id);
      fixture.attemptEnded(id, 0, AttemptOutcome.CANCELLED);
    }
    assertTrue(kept < 20, "requests sent to the ejected node: " + kept);
    fixture
        .requestArrived(50, 9)
        .decideAll()
        .attemptEnded(50, 0, AttemptOutcome.REJECTED)
        .decideAll();
    assertTrue(
        fixture.actions.stream().anyMatch(s -> s.startsWith("gossip") && s.endsWith("false")));
  }

  @Test
  void timedOutAttemptIsMovedOnlyWhereMovingDoesMuchBetter() {
    for (boolean movingHelps : new boolean[] {true, false}) {
      DecisionEngineFixture fixture =
          DecisionEngineFixture.readThrough(Effect.IDEMPOTENT).withEndpoints(1, 2, 3, 4);
      int late = 0;
      for (long id = 1; id <= 200; id++) {
        fixture.at(id * 1000);
        fixture.requestArrived(id, 0, id, id * 1000 + 900, false);
        long before = fixture.count("cancel");
        fixture.decideAll().at(id * 1000 + 200).decideAll();
        boolean moved = fixture.count("cancel") > before;
        late += moved && id > 100 ? 1 : 0;
        int last = 0;
        if (moved) {
          fixture.attemptEnded(id, 0, AttemptOutcome.CANCELLED).decideAll();
          last = 1;
        }
        fixture.at(id * 1000 + (moved == movingHelps ? 250 : 500));
        fixture.attemptEnded(id, last, AttemptOutcome.SERVED).decideAll();
      }
      assertTrue(
          movingHelps ? late >= 8 : late < 4,
          movingHelps + ", attempts moved late in the run: " + late);
    }
  }
}
