package pathgw.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pathgw.decision.DecisionEngineFixture.ms;

import java.util.List;
import org.junit.jupiter.api.Test;
import pathgw.decision.Settings.DedupScope;
import pathgw.decision.Settings.Effect;

/** Tests of the concurrency limit on origin fetches and of their coalescing. */
class OriginLimitTest {
  @Test
  void missesOnOneKeyShareOneFetchAndAskCacheAgain() {
    DecisionEngineFixture fixture =
        new DecisionEngineFixture(false, Effect.IDEMPOTENT, DedupScope.ALL, List.of())
            .withEndpoints(0, 1, 2);
    fixture.requestArrived(1, 8).requestArrived(2, 8).decideAll();
    fixture
        .attemptEnded(1, 0, AttemptOutcome.MISS)
        .attemptEnded(2, 0, AttemptOutcome.MISS)
        .decideAll();
    assertEquals(3, fixture.attemptedNodes.size());
    assertEquals(0L, fixture.attemptedNodes.get(2));
    fixture.attemptEnded(1, 1, AttemptOutcome.SERVED).decideAll();
    assertEquals(fixture.attemptedNodes.get(1), fixture.attemptedNodes.get(3));
  }

  @Test
  void waiterFetchesItselfWhenSharedFetchIsStuck() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.oneOf(1, false, 7, List.of())
            .withEndpoints(0, 1, 2)
            .requestArrived(1, 8)
            .requestArrived(2, 8)
            .decideAll();
    fixture
        .attemptEnded(1, 0, AttemptOutcome.MISS)
        .attemptEnded(2, 0, AttemptOutcome.MISS)
        .decideAll();
    assertEquals(3, fixture.attemptedNodes.size());
    fixture.at(400).decideAll();
    assertEquals(List.of(0L, 0L), fixture.attemptedNodes.subList(2, 4));
  }

  @Test
  void waiterFetchesItselfWhenSharedFetchIsCancelled() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.oneOf(1, false, 7, List.of())
            .withEndpoints(0, 1, 2)
            .requestArrived(1, 8)
            .requestArrived(2, 8)
            .decideAll();
    fixture
        .attemptEnded(1, 0, AttemptOutcome.MISS)
        .attemptEnded(2, 0, AttemptOutcome.MISS)
        .decideAll();
    fixture.engine.requestAbandoned(1);
    fixture.attemptEnded(1, 1, AttemptOutcome.CANCELLED).decideAll();
    assertEquals(List.of(0L, 0L), fixture.attemptedNodes.subList(2, 4));
  }

  @Test
  void originLimitUnderOneFetchIsSpreadOverTime() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.oneOf(500, false, 7, List.of()).withEndpoints(0, 1, 2, 3);
    for (long id = 1; id <= 10; id++) {
      fixture.at(id);
      fixture.requestArrived(id, 0, id, 900, false);
      fixture.decideAll().attemptEnded(id, 0, AttemptOutcome.MISS).decideAll();
    }
    assertEquals(1, fixture.attemptedNodes.stream().filter(n -> n == 0).count());
    fixture.at(30).attemptEnded(1, 1, AttemptOutcome.SERVED).decideAll();
    assertEquals(1, fixture.attemptedNodes.stream().filter(n -> n == 0).count());
    fixture.at(890).decideAll();
    fixture.at(10_000).requestArrived(11, 0, 11, 11_000, false);
    fixture.decideAll().attemptEnded(11, 0, AttemptOutcome.MISS).decideAll();
    assertEquals(2, fixture.attemptedNodes.stream().filter(n -> n == 0).count());
  }

  @Test
  void originLimitDoesNotShrinkWithFleet() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.oneOf(1, false, 7, List.of())
            .withEndpoints(0, 1, 2, 3, 4, 5, 6)
            .decideAll()
            .withEndpoints(0, 1);
    for (long id = 1; id <= 20; id++) {
      fixture
          .requestArrived(id, id)
          .decideAll()
          .attemptEnded(id, 0, AttemptOutcome.MISS)
          .decideAll();
    }
    assertTrue(fixture.attemptedNodes.stream().filter(n -> n == 0).count() > 10);
  }

  @Test
  void fetchThatFailedLateRaisesExpectedFetchLatency() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.oneOf(1, false, 7, List.of()).withEndpoints(0, 1, 2);
    fixture.requestArrived(1, 8).decideAll().attemptEnded(1, 0, AttemptOutcome.MISS).decideAll();
    fixture.at(900).engine.attemptEnded(1, 1, AttemptOutcome.TIMED_OUT, ms(890), true);
    fixture.requestArrived(2, 0, 9, 1300, false);
    fixture.decideAll().attemptEnded(2, 0, AttemptOutcome.MISS).decideAll();
    assertTrue(fixture.actions.contains("reject 2"));
  }

  /** Guards against fewer fetches while replies of the origin are held back. */
  @Test
  void slotIsFreeOnceTheReplyIsReceivedThoughTheAttemptHasNotEnded() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.oneOf(1, false, 7, List.of()).withEndpoints(0, 1, 2);
    for (long id = 1; id <= 60; id++) {
      fixture.requestArrived(id, id).decideAll();
      fixture.attemptEnded(id, 0, AttemptOutcome.MISS).decideAll();
    }
    long sent = fixture.attemptedNodes.stream().filter(n -> n == 0).count();
    fixture.engine.replyReceived(1, 1, ms(5));
    fixture.decideAll();
    assertEquals(sent + 1, fixture.attemptedNodes.stream().filter(n -> n == 0).count());
    fixture.attemptEnded(1, 1, AttemptOutcome.SERVED).decideAll();
    assertEquals(sent + 1, fixture.attemptedNodes.stream().filter(n -> n == 0).count());
  }
}
