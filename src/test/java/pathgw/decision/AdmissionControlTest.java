package pathgw.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pathgw.decision.DecisionEngineFixture.ms;

import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import pathgw.decision.Settings.DedupScope;
import pathgw.decision.Settings.Effect;

/** Tests of tenant quotas and load shedding. */
class AdmissionControlTest {
  /**
   * Tenant 0 is over its quota, and 40 of its fetches from the origin have failed within 4 s.
   * Tenant 1 has sent nothing.
   */
  private static DecisionEngineFixture overloaded() {
    DecisionEngineFixture fixture =
        new DecisionEngineFixture(false, Effect.IDEMPOTENT, DedupScope.ALL, List.of(4.0, 400.0))
            .withEndpoints(0, 1, 2, 3);
    for (int id = 1; id <= 40; id++) {
      fixture.at(id * 100L);
      fixture.requestArrived(id, 0, id, id * 100 + 900, false);
      fixture
          .decideAll()
          .attemptEnded(id, 0, AttemptOutcome.MISS)
          .decideAll()
          .attemptEnded(id, 1, AttemptOutcome.CONNECTION_LOST)
          .decideAll();
    }
    return fixture;
  }

  @Test
  void firstTriesOfTenantOverQuotaAreAdmittedBeforeItsRepeats() {
    DecisionEngineFixture fixture = overloaded();
    for (int i = 0; i < 50; i++) {
      fixture.requestArrived(100 + i, 0, 100 + i, 5000, true);
    }
    long repeats =
        fixture.decideAll().actions.stream().filter(s -> s.matches("attempt 1\\d\\d")).count();
    assertTrue(repeats <= 2, repeats + " of 50 repeats");
    for (int i = 0; i < 50; i++) {
      fixture.requestArrived(200 + i, 0, 200 + i, 5000, false);
    }
    long firsts =
        fixture.decideAll().actions.stream().filter(s -> s.matches("attempt 2\\d\\d")).count();
    assertTrue(firsts > 2 * repeats, firsts + " of 50 first tries");
    for (int i = 0; i < 5; i++) {
      fixture.requestArrived(300 + i, 1, 300 + i, 5000, true);
    }
    assertEquals(
        5, fixture.decideAll().actions.stream().filter(s -> s.startsWith("attempt 30")).count());
  }

  @Test
  void onlyTenantOverQuotaIsRejectedUnderOverload() {
    DecisionEngineFixture fixture = overloaded();
    long id = 40;
    long first = id + 1;
    for (int i = 0; i < 4; i++) {
      fixture.requestArrived(++id, i % 2, id, 5000, false);
    }
    fixture.decideAll();
    assertTrue(fixture.actions.contains("reject " + (first + 2)));
    assertTrue(fixture.actions.contains("attempt " + (first + 1)), fixture.actions::toString);
    assertTrue(fixture.actions.contains("attempt " + (first + 3)));
  }

  /**
   * Sends ten requests per second for eight seconds, most of them from a tenant far over its quota,
   * and changes the endpoint list in the middle.
   */
  private static DecisionEngineFixture runWithReducedFleet(
      DecisionEngineFixture fixture, int lateEvery, Consumer<DecisionEngineFixture> change) {
    fixture.withEndpoints(0, 1, 2, 3);
    for (int id = 1; id <= 80; id++) {
      if (id == 40) {
        change.accept(fixture);
        fixture.actions.clear();
      }
      fixture.at(id * 100L);
      fixture.requestArrived(id, id % 8 / 7, id, id * 100 + 900, false);
      fixture.decideAll().attemptEnded(id, 0, AttemptOutcome.SERVED, id % lateEvery == 0 ? 200 : 5);
    }
    return fixture;
  }

  private static DecisionEngineFixture oneOfTwoProxiesWithGreedyTenant() {
    return new DecisionEngineFixture(false, Effect.IDEMPOTENT, DedupScope.ALL, List.of(4.0, 400.0));
  }

  @Test
  void requestsOverQuotaAreRejectedWhileFleetIsReducedAndLate() {
    DecisionEngineFixture fixture =
        runWithReducedFleet(
            oneOfTwoProxiesWithGreedyTenant(),
            6,
            b -> b.withEndpointUpdate(1, EndpointState.GONE, null));
    long rejected = fixture.count("reject");
    assertTrue(
        rejected >= 10 && rejected <= 34,
        rejected + " rejected of 36 requests over quota, of which some must be admitted");
    assertTrue(
        fixture.actions.stream().noneMatch(s -> s.matches("reject (47|55|63|71|79)")),
        "requests of the tenant within its quota are admitted");
  }

  @Test
  void requestsOverQuotaAreAdmittedWhileReducedFleetAnswersInTime() {
    DecisionEngineFixture fixture =
        runWithReducedFleet(
            oneOfTwoProxiesWithGreedyTenant(),
            100,
            b -> b.withEndpointUpdate(1, EndpointState.GONE, null));
    assertEquals(0, fixture.count("reject"));
  }

  @Test
  void rollingReleaseThatAddsNodesFirstDoesNotCountAsReducedFleet() {
    DecisionEngineFixture fixture =
        runWithReducedFleet(
            oneOfTwoProxiesWithGreedyTenant(),
            6,
            b ->
                b.withEndpointUpdate(4, EndpointState.READY, ms(4000))
                    .withEndpointUpdate(5, EndpointState.READY, ms(4000))
                    .decideAll()
                    .withEndpointUpdate(1, EndpointState.GONE, null)
                    .withEndpointUpdate(2, EndpointState.GONE, null));
    fixture.at(14_000).decideAll().actions.clear();
    for (int id = 101; id <= 220; id++) {
      fixture.at(14_000 + id * 100);
      fixture.requestArrived(id, 0, id, 14_900 + id * 100, false);
      fixture.decideAll().attemptEnded(id, 0, AttemptOutcome.SERVED, id % 6 == 0 ? 200 : 5);
    }
    assertTrue(
        fixture.count("reject") <= 4,
        fixture.count("reject") + " rejected although all nodes are ready and warmed up");
  }

  @Test
  void requestsAreRejectedOnArrivalWhenAllCacheNodesAreCongested() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.readThrough(Effect.IDEMPOTENT).withEndpoints(1, 2, 3);
    for (long id = 1; id <= 60; id++) {
      fixture.at(id * 200L);
      fixture.requestArrived(id, 0, id, id * 200 + 900, false);
      fixture
          .decideAll()
          .engine
          .attemptEnded(id, 0, AttemptOutcome.SERVED, ms(id < 10 ? 5 : 290), true);
    }
    for (long id = 100; id < 110; id++) {
      fixture.requestArrived(id, 0, id, 13000, false);
    }
    fixture.decideAll();
    assertTrue(fixture.actions.contains("reject 109"));
    assertTrue(fixture.actions.contains("attempt 100"));
  }

  @Test
  void repeatPastLatencyObjectiveIsRejectedWhereLateAnswersAreWorthNothing() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.readThrough(Effect.IDEMPOTENT, 0).withEndpoints(1, 2);
    fixture.requestArrived(1, 0, 1, 900, false);
    fixture.decideAll().at(800);
    fixture.requestArrived(2, 0, 1, 1000, true);
    fixture.decideAll();
    assertTrue(fixture.actions.contains("attempt 1"));
    assertTrue(fixture.actions.contains("reject 2") && !fixture.actions.contains("attempt 2"));
  }

  @Test
  void burstWithinQuotaIsAdmittedWhereOneProxysPartIsUnderOneRequest() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.oneOf(500, false, 7, List.of(100.0, 100.0)).withEndpoints(0, 1, 2, 3);
    for (long id = 1; id <= 40; id++) {
      fixture.at(id * 100L);
      fixture.requestArrived(id, 1, id, id * 100 + 900, false);
      fixture
          .decideAll()
          .attemptEnded(id, 0, AttemptOutcome.CONNECTION_LOST)
          .attemptEnded(id, 1, AttemptOutcome.CONNECTION_LOST)
          .attemptEnded(id, 2, AttemptOutcome.CONNECTION_LOST)
          .decideAll();
    }
    fixture.at(6000);
    for (long id = 101; id <= 105; id++) {
      fixture.requestArrived(id, 0, id, 7000, false);
    }
    assertEquals(
        0, fixture.decideAll().actions.stream().filter(s -> s.matches("reject 10[1-5]")).count());
  }

  @Test
  void proxyWithMoreThanItsShareOfTrafficRejectsOnlyTheGreedyTenant() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.oneOf(10, false, 7, List.of(10.0, 10.0)).withEndpoints(0, 1, 2, 3);
    long id = 0;
    int rejected = 0;
    for (int tenth = 1; tenth <= 300; tenth++) {
      fixture.at(tenth * 100L);
      int tenant = tenth % 5 == 0 ? 0 : 1;
      fixture.requestArrived(++id, tenant, id, tenth * 100 + 900, false);
      fixture.decideAll();
      rejected += tenant == 0 && fixture.actions.contains("reject " + id) ? 1 : 0;
      fixture
          .attemptEnded(id, 0, AttemptOutcome.CONNECTION_LOST)
          .attemptEnded(id, 1, AttemptOutcome.CONNECTION_LOST)
          .attemptEnded(id, 2, AttemptOutcome.CONNECTION_LOST)
          .decideAll();
    }
    assertTrue(fixture.count("reject") > 100, "rejected in total: " + fixture.count("reject"));
    assertTrue(rejected < 10, "rejected from the tenant within its quota: " + rejected);
  }
}
