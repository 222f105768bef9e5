package pathgw.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import pathgw.algorithm.RendezvousHash;
import pathgw.decision.Settings.Effect;
import pathgw.decision.Settings.Group;

class DecisionEngineTest {
  private static long nodeOf(long key, long... list) {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.through(Effect.IDEMPOTENT).list(list).requestArrived(1, key).pull();
    return fixture.sentTo.get(0);
  }

  @Test
  void scoreIsMurmur3OfNodeBarKey() {
    assertEquals(
        Long.parseUnsignedLong("13335759447878352755"),
        RendezvousHash.score(RendezvousHash.prefix(1), "42".getBytes(StandardCharsets.UTF_8)));
    assertEquals(
        3615641744356819593L,
        RendezvousHash.score(
            RendezvousHash.prefix(4294967295L),
            "18446744073709551615".getBytes(StandardCharsets.UTF_8)));
  }

  @Test
  void scoresAreComparedUnsignedAndTiesByNode() {
    assertTrue(RendezvousHash.compare(-1, 1, 1, 2) > 0);
    assertTrue(RendezvousHash.compare(5, 2, 5, 1) > 0);
    assertTrue(RendezvousHash.compare(5, 1, 5, 2) < 0);
  }

  @Test
  void removingANodeMovesOnlyItsKeys() {
    int moved = 0;
    for (long key = 1; key <= 60; key++) {
      long before = nodeOf(key, 1, 2, 3, 4);
      long after = nodeOf(key, 1, 2, 3);
      if (before == 4) {
        moved++;
      } else {
        assertEquals(before, after);
      }
    }
    assertTrue(moved > 0);
  }

  @Test
  void theOriginIsNeverRankedAsACache() {
    for (long key = 1; key <= 20; key++) {
      DecisionEngineFixture fixture =
          new DecisionEngineFixture(false, Effect.IDEMPOTENT, Group.ALL, List.of()).list(0, 1, 2);
      assertNotEquals(0L, fixture.requestArrived(1, key).pull().sentTo.get(0));
    }
  }

  @Test
  void hotKeyScattersAndAColdOneDoesNot() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.through(Effect.IDEMPOTENT).list(1, 2, 3, 4, 5);
    for (long id = 1; id <= 30; id++) {
      fixture.requestArrived(id, 8).pull().attemptEnded(id, 0, AttemptOutcome.SERVED).pull();
    }
    assertTrue(fixture.sentTo.stream().distinct().count() > 1);
    DecisionEngineFixture rare =
        DecisionEngineFixture.through(Effect.IDEMPOTENT).list(1, 2, 3, 4, 5);
    for (int id = 1; id <= 200; id++) {
      rare.at(id * 200L)
          .decide
          .requestArrived(
              id,
              0,
              0,
              id % 50 == 0 ? 8 : id + 100,
              DecisionEngineFixture.ms(id * 200 + 900),
              DecisionEngineFixture.START,
              false,
              false);
      rare.pull().attemptEnded(id, 0, AttemptOutcome.SERVED).pull();
    }
    assertEquals(
        1,
        LongStream.of(50, 100, 150, 200)
            .map(id -> rare.sentTo.get((int) id - 1))
            .distinct()
            .count());
  }

  @Test
  void atMostOnceIsNeitherResentNorDeniedOnceItMayHaveRun() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.through(Effect.AT_MOST_ONCE).list(1, 2).requestArrived(1, 8).pull();
    fixture.attemptEnded(1, 0, AttemptOutcome.TIMED_OUT).pull();
    assertEquals(1, fixture.count("hand-off"));
    assertEquals(0, fixture.count("deny"));
    assertEquals(1, fixture.count("write-off"));
  }

  @Test
  void atMostOnceIsResentAfterAConnectFailure() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.through(Effect.AT_MOST_ONCE).list(1, 2).requestArrived(1, 8).pull();
    fixture.attemptEnded(1, 0, AttemptOutcome.CONNECT_FAILED).pull();
    assertEquals(2, fixture.sentTo.stream().distinct().count());
  }

  @Test
  void numberedIsNotResentPastItsMemory() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.through(Effect.IDEMPOTENCY_KEYED)
            .list(1, 2)
            .requestArrived(1, 8)
            .pull();
    fixture.at(390).attemptEnded(1, 0, AttemptOutcome.CONNECTION_LOST).pull();
    assertEquals(1, fixture.count("hand-off"));
    assertEquals(1, fixture.count("deny"));
  }

  @Test
  void numberedIsNotResentNorDeniedOutsideItsGroup() {
    DecisionEngineFixture fixture =
        new DecisionEngineFixture(true, Effect.IDEMPOTENCY_KEYED, Group.ZONE, List.of())
            .list(1, 2)
            .requestArrived(1, 8)
            .pull();
    fixture.at(10).attemptEnded(1, 0, AttemptOutcome.CONNECTION_LOST).pull();
    assertEquals(1, fixture.count("hand-off"));
    assertEquals(1, fixture.count("write-off"));
  }

  @Test
  void nothingNewAfterADrainNotice() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.through(Effect.IDEMPOTENT)
            .list(1)
            .change(1, EndpointState.DRAINING, null);
    fixture.requestArrived(1, 8).pull();
    assertEquals(0, fixture.count("hand-off"));
    assertEquals(1, fixture.count("deny"));
  }

  /**
   * 15 of 76,571 requests went to nodes whose draining a silent watch hid, by proxies turned away.
   */
  @Test
  void aListThatIsNoLongerProvenGivesCachesNothingUntilItSpeaks() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.oneOf(1, false, 7, List.of()).list(0, 1, 2);
    fixture.decide.leaseEndpointsUntil(DecisionEngineFixture.ms(6000));
    fixture
        .at(5900)
        .decide
        .requestArrived(
            1, 0, 0, 8, DecisionEngineFixture.ms(6900), DecisionEngineFixture.START, false, false);
    fixture.pull();
    assertNotEquals(0L, fixture.sentTo.get(0));
    assertEquals(
        DecisionEngineFixture.ms(100),
        fixture.mostToSend.get(0),
        "nor is one written then that waits");
    fixture
        .at(6000)
        .decide
        .requestArrived(
            2, 0, 0, 9, DecisionEngineFixture.ms(7000), DecisionEngineFixture.START, false, false);
    fixture.pull();
    assertEquals(
        List.of(0L), fixture.sentTo.subList(1, 2), "the origin leaves nobody without a word");
    fixture.decide.leaseEndpointsUntil(DecisionEngineFixture.ms(12_000));
    fixture.decide.requestArrived(
        3, 0, 0, 8, DecisionEngineFixture.ms(7000), DecisionEngineFixture.START, false, false);
    fixture.pull();
    assertEquals(fixture.sentTo.get(0), fixture.sentTo.get(2), "service is whole at once");
  }

  @Test
  void withoutAProvenListNobodyIsHeldBack() {
    DecisionEngineFixture fixture = DecisionEngineFixture.oneOf(1, false, 7, List.of()).list(1, 2);
    fixture.decide.leaseEndpointsUntil(DecisionEngineFixture.START);
    fixture.requestArrived(1, 8).requestArrived(2, 8).pull();
    assertEquals(List.of("deny 1", "deny 2"), fixture.said);
    DecisionEngineFixture waits = DecisionEngineFixture.oneOf(1, false, 7, List.of()).list(0, 1, 2);
    waits.decide.leaseEndpointsUntil(DecisionEngineFixture.START);
    waits
        .requestArrived(1, 8)
        .requestArrived(2, 8)
        .pull()
        .attemptEnded(1, 0, AttemptOutcome.SERVED)
        .pull();
    assertEquals(List.of(0L, 0L), waits.sentTo, "who waited for a fetch goes on by its own");
  }

  @Test
  void aSilentWatchIsFollowedAtOnceAndACallThatFailedWithinTheProof() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.oneOf(100, false, 7, List.of()).list(0, 1).pull();
    fixture.decide.leaseEndpointsUntil(DecisionEngineFixture.ms(8250));
    fixture.at(2250).decide.endpointWatchSilent();
    fixture.pull().at(2500).pull();
    assertEquals(1, fixture.count("fetch list"));
    for (int failed = 1; failed <= 8; failed++) {
      fixture.decide.endpointCallFailed();
      fixture.pull().at(2500 + failed * 1500).pull();
      assertEquals(1 + failed, fixture.count("fetch list"), "again soon");
    }
  }

  @Test
  void everyRequestEndsOnceBeforeItsLimit() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.through(Effect.IDEMPOTENT).list(1, 2).requestArrived(1, 8).pull();
    fixture.at(999).pull();
    fixture.attemptEnded(1, 0, AttemptOutcome.TIMED_OUT).pull();
    assertEquals(1, fixture.count("deny"));
    assertEquals(1, fixture.count("hand-off"));
  }

  @Test
  void aColdNodesBudgetHoldsWhenItsNeighboursFail() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.through(Effect.IDEMPOTENT)
            .list(1, 2)
            .change(1, EndpointState.READY, Duration.ofMillis(-10));
    fixture.change(2, EndpointState.GONE, null);
    for (long id = 1; id <= 100; id++) {
      fixture.requestArrived(id, id).pull();
    }
    assertTrue(fixture.count("hand-off") < 10);
    assertEquals(100, fixture.count("hand-off") + fixture.count("deny"));
  }

  @Test
  void aColdNodesBudgetFollowsWhatIsAnsweredNotWhatIsSent() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.through(Effect.IDEMPOTENT)
            .list(1, 2)
            .change(1, EndpointState.READY, Duration.ofMillis(-10));
    fixture.change(2, EndpointState.GONE, null);
    for (long id = 1; id <= 2000; id++) {
      fixture.at(id).requestArrived(id, id).pull();
    }
    assertTrue(fixture.count("hand-off") < 20);
  }

  @Test
  void requestsThatMissOnOneKeyShareAFetchAndAskTheCacheAgain() {
    DecisionEngineFixture fixture =
        new DecisionEngineFixture(false, Effect.IDEMPOTENT, Group.ALL, List.of()).list(0, 1, 2);
    fixture.requestArrived(1, 8).requestArrived(2, 8).pull();
    fixture.attemptEnded(1, 0, AttemptOutcome.MISS).attemptEnded(2, 0, AttemptOutcome.MISS).pull();
    assertEquals(3, fixture.sentTo.size());
    assertEquals(0L, fixture.sentTo.get(2));
    fixture.attemptEnded(1, 1, AttemptOutcome.SERVED).pull();
    assertEquals(fixture.sentTo.get(1), fixture.sentTo.get(3));
  }

  @Test
  void aWaiterGoesOnByItselfWhenTheFetchIsStuck() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.oneOf(1, false, 7, List.of())
            .list(0, 1, 2)
            .requestArrived(1, 8)
            .requestArrived(2, 8)
            .pull();
    fixture.attemptEnded(1, 0, AttemptOutcome.MISS).attemptEnded(2, 0, AttemptOutcome.MISS).pull();
    assertEquals(3, fixture.sentTo.size());
    fixture.at(400).pull();
    assertEquals(List.of(0L, 0L), fixture.sentTo.subList(2, 4));
  }

  @Test
  void aKeyWhoseFetchEndedIsNotWaitedFor() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.oneOf(1, false, 7, List.of())
            .list(0, 1, 2)
            .requestArrived(1, 8)
            .requestArrived(2, 8)
            .pull();
    fixture.attemptEnded(1, 0, AttemptOutcome.MISS).attemptEnded(2, 0, AttemptOutcome.MISS).pull();
    fixture.decide.requestAbandoned(1);
    fixture.attemptEnded(1, 1, AttemptOutcome.CANCELLED).pull();
    assertEquals(List.of(0L, 0L), fixture.sentTo.subList(2, 4));
  }

  @Test
  void aConnectFailureDropsTheNodeUntilTheNextListAndAsksForOne() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.through(Effect.IDEMPOTENT).list(1, 2).requestArrived(1, 8).pull();
    long top = fixture.sentTo.get(0);
    fixture
        .attemptEnded(1, 0, AttemptOutcome.CONNECT_FAILED)
        .pull()
        .attemptEnded(1, 1, AttemptOutcome.SERVED)
        .requestArrived(2, 8)
        .pull();
    assertEquals(1, fixture.count("fetch list"));
    assertNotEquals(top, fixture.sentTo.get(2));
    fixture.list(1, 2).requestArrived(3, 8).pull();
    assertEquals(top, fixture.sentTo.get(3));
  }

  @Test
  void lateAndUnknownOutcomesAreIgnored() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.through(Effect.IDEMPOTENT).list(1, 2).requestArrived(1, 8).pull();
    List<String> before = List.copyOf(fixture.said);
    fixture
        .attemptEnded(1, 0, AttemptOutcome.SERVED)
        .attemptEnded(1, 0, AttemptOutcome.SERVED)
        .attemptEnded(5, 0, AttemptOutcome.CONNECTION_LOST);
    fixture.attemptEnded(1, 3, AttemptOutcome.CONNECTION_LOST).decide.requestAbandoned(77);
    assertEquals(before, fixture.pull().said);
  }

  /** Tenant 0, over its share, has failed 40 times at the origin in 4 s; tenant 1 has not asked. */
  private static DecisionEngineFixture overloaded() {
    DecisionEngineFixture fixture =
        new DecisionEngineFixture(false, Effect.IDEMPOTENT, Group.ALL, List.of(4.0, 400.0))
            .list(0, 1, 2, 3);
    for (int id = 1; id <= 40; id++) {
      fixture.at(id * 100L);
      fixture.decide.requestArrived(
          id,
          0,
          0,
          id,
          DecisionEngineFixture.ms(id * 100 + 900),
          DecisionEngineFixture.START,
          false,
          false);
      fixture
          .pull()
          .attemptEnded(id, 0, AttemptOutcome.MISS)
          .pull()
          .attemptEnded(id, 1, AttemptOutcome.CONNECTION_LOST)
          .pull();
    }
    return fixture;
  }

  @Test
  void anOverShareTenantsRepeatsGiveWayToItsFirstTries() {
    DecisionEngineFixture fixture = overloaded();
    for (int i = 0; i < 50; i++) {
      fixture.decide.requestArrived(
          100 + i,
          0,
          0,
          100 + i,
          DecisionEngineFixture.ms(5000),
          DecisionEngineFixture.START,
          true,
          false);
    }
    long repeats = fixture.pull().said.stream().filter(s -> s.matches("hand-off 1\\d\\d")).count();
    assertTrue(repeats <= 2, repeats + " of 50 repeats");
    for (int i = 0; i < 50; i++) {
      fixture.decide.requestArrived(
          200 + i,
          0,
          0,
          200 + i,
          DecisionEngineFixture.ms(5000),
          DecisionEngineFixture.START,
          false,
          false);
    }
    long firsts = fixture.pull().said.stream().filter(s -> s.matches("hand-off 2\\d\\d")).count();
    assertTrue(firsts > 2 * repeats, firsts + " of 50 first tries");
    for (int i = 0; i < 5; i++) {
      fixture.decide.requestArrived(
          300 + i,
          0,
          1,
          300 + i,
          DecisionEngineFixture.ms(5000),
          DecisionEngineFixture.START,
          true,
          false);
    }
    assertEquals(5, fixture.pull().said.stream().filter(s -> s.startsWith("hand-off 30")).count());
  }

  @Test
  void anOverShareTenantIsDeniedUnderOverloadAndOthersAreNot() {
    DecisionEngineFixture fixture = overloaded();
    long id = 40;
    long first = id + 1;
    for (int i = 0; i < 4; i++) {
      fixture.decide.requestArrived(
          ++id,
          0,
          i % 2,
          id,
          DecisionEngineFixture.ms(5000),
          DecisionEngineFixture.START,
          false,
          false);
    }
    fixture.pull();
    assertTrue(fixture.said.contains("deny " + (first + 2)));
    assertTrue(fixture.said.contains("hand-off " + (first + 1)), fixture.said::toString);
    assertTrue(fixture.said.contains("hand-off " + (first + 3)));
  }

  /** Eight seconds of ten requests each, of which one tenant asks far over its share. */
  private static DecisionEngineFixture smallerFleet(
      DecisionEngineFixture fixture, int lateEach, Consumer<DecisionEngineFixture> change) {
    fixture.list(0, 1, 2, 3);
    for (int id = 1; id <= 80; id++) {
      if (id == 40) {
        change.accept(fixture);
        fixture.said.clear();
      }
      fixture.at(id * 100L);
      fixture.decide.requestArrived(
          id,
          0,
          id % 8 / 7,
          id,
          DecisionEngineFixture.ms(id * 100 + 900),
          DecisionEngineFixture.START,
          false,
          false);
      fixture.pull().attemptEnded(id, 0, AttemptOutcome.SERVED, id % lateEach == 0 ? 200 : 5);
    }
    return fixture;
  }

  private static DecisionEngineFixture oneOfTwoWithAGreedyTenant() {
    return new DecisionEngineFixture(false, Effect.IDEMPOTENT, Group.ALL, List.of(4.0, 400.0));
  }

  @Test
  void whatLiesOverAShareIsDeniedWhileTheFleetIsSmallerThanItWas() {
    DecisionEngineFixture fixture =
        smallerFleet(oneOfTwoWithAGreedyTenant(), 6, b -> b.change(1, EndpointState.GONE, null));
    long rejected = fixture.count("deny");
    assertTrue(
        rejected >= 10 && rejected <= 34, rejected + " of 36 over its share, and some must pass");
    assertTrue(
        fixture.said.stream().noneMatch(s -> s.matches("deny (47|55|63|71|79)")),
        "within its share");
  }

  @Test
  void aSmallerFleetThatAnswersInTimeHasRoomForWhatLiesOverAShare() {
    DecisionEngineFixture fixture =
        smallerFleet(oneOfTwoWithAGreedyTenant(), 100, b -> b.change(1, EndpointState.GONE, null));
    assertEquals(0, fixture.count("deny"));
  }

  @Test
  void aReleaseThatAddsBeforeItTakesAwayLeavesTheFleetWhole() {
    DecisionEngineFixture fixture =
        smallerFleet(
            oneOfTwoWithAGreedyTenant(),
            6,
            b ->
                b.change(4, EndpointState.READY, DecisionEngineFixture.ms(4000))
                    .change(5, EndpointState.READY, DecisionEngineFixture.ms(4000))
                    .pull()
                    .change(1, EndpointState.GONE, null)
                    .change(2, EndpointState.GONE, null));
    fixture.at(14_000).pull().said.clear();
    for (int id = 101; id <= 220; id++) {
      fixture.at(14_000 + id * 100);
      fixture.decide.requestArrived(
          id,
          0,
          0,
          id,
          DecisionEngineFixture.ms(14_900 + id * 100),
          DecisionEngineFixture.START,
          false,
          false);
      fixture.pull().attemptEnded(id, 0, AttemptOutcome.SERVED, id % 6 == 0 ? 200 : 5);
    }
    assertTrue(
        fixture.count("deny") <= 4,
        fixture.count("deny") + " denied though all are ready and warm");
  }

  @Test
  void whenAllCachesAreCrowdedTheRestIsDeniedOnArrival() {
    DecisionEngineFixture fixture = DecisionEngineFixture.through(Effect.IDEMPOTENT).list(1, 2, 3);
    for (long id = 1; id <= 60; id++) {
      fixture.at(id * 200L);
      fixture.decide.requestArrived(
          id,
          0,
          0,
          id,
          DecisionEngineFixture.ms(id * 200 + 900),
          DecisionEngineFixture.START,
          false,
          false);
      fixture
          .pull()
          .decide
          .attemptEnded(
              id, 0, AttemptOutcome.SERVED, DecisionEngineFixture.ms(id < 10 ? 5 : 290), true);
    }
    for (long id = 100; id < 110; id++) {
      fixture.decide.requestArrived(
          id, 0, 0, id, DecisionEngineFixture.ms(13000), DecisionEngineFixture.START, false, false);
    }
    fixture.pull();
    assertTrue(fixture.said.contains("deny 109"));
    assertTrue(fixture.said.contains("hand-off 100"));
  }

  @Test
  void aFrozenNodeLosesSomeOfItsRequestsButNeverAll() {
    DecisionEngineFixture fixture =
        new DecisionEngineFixture(false, Effect.IDEMPOTENT, Group.ALL, List.of()).list(0, 1, 2);
    long frozen = 2;
    int kept = 0;
    for (long id = 1; id <= 400; id++) {
      fixture.at(id * 10);
      fixture.decide.requestArrived(
          id,
          0,
          0,
          id,
          DecisionEngineFixture.ms(id * 10 + 900),
          DecisionEngineFixture.START,
          false,
          false);
      int before = fixture.sentTo.size();
      fixture.pull();
      boolean toFrozen = fixture.sentTo.size() > before && fixture.sentTo.get(before) == frozen;
      kept += id > 200 && toFrozen ? 1 : 0;
      fixture
          .attemptEnded(id, 0, toFrozen ? AttemptOutcome.CONNECTION_LOST : AttemptOutcome.SERVED)
          .attemptEnded(id, 1, AttemptOutcome.SERVED)
          .pull();
    }
    assertTrue(kept > 0 && kept < 60, "kept " + kept);
  }

  @Test
  void aTryThatComesPastItsFirstTrysGoalIsDeniedWhereLateEarnsNothing() {
    DecisionEngineFixture fixture = DecisionEngineFixture.through(Effect.IDEMPOTENT, 0).list(1, 2);
    fixture.decide.requestArrived(
        1, 0, 0, 1, DecisionEngineFixture.ms(900), DecisionEngineFixture.START, false, false);
    fixture.pull().at(800);
    fixture.decide.requestArrived(
        2, 0, 0, 1, DecisionEngineFixture.ms(1000), DecisionEngineFixture.START, true, false);
    fixture.pull();
    assertTrue(fixture.said.contains("hand-off 1"));
    assertTrue(fixture.said.contains("deny 2") && !fixture.said.contains("hand-off 2"));
  }

  @Test
  void hundredsOfProxiesTogetherKeepAColdNodesBudget() {
    long sent = 0;
    for (long seed = 1; seed <= 500; seed++) {
      DecisionEngineFixture fixture =
          DecisionEngineFixture.oneOf(500, true, seed, List.of()).list(1);
      fixture.change(1, EndpointState.READY, Duration.ofMillis(-10)).requestArrived(1, 8).pull();
      sent += fixture.count("hand-off");
    }
    assertTrue(sent < 50, "sent " + sent);
  }

  @Test
  void aKeyFarOverOneCachesShareIsHotEvenIfSeldomSeen() {
    DecisionEngineFixture fixture = DecisionEngineFixture.oneOf(500, true, 7, List.of());
    fixture.list(LongStream.rangeClosed(1, 50).toArray());
    for (long id = 1; id <= 60; id++) {
      fixture.at(id * 500);
      fixture.decide.requestArrived(
          id,
          0,
          0,
          id % 2 == 0 ? 8 : id + 1000,
          DecisionEngineFixture.ms(id * 500 + 900),
          DecisionEngineFixture.START,
          false,
          false);
      fixture.pull().attemptEnded(id, 0, AttemptOutcome.SERVED);
    }
    long atTop = 0;
    for (int i = 41; i < 60; i += 2) {
      atTop +=
          fixture.sentTo.get(i).equals(nodeOf(8, LongStream.rangeClosed(1, 50).toArray())) ? 1 : 0;
    }
    assertTrue(atTop < 5, "at the top score " + atTop);
  }

  @Test
  void aFewWithinShareRequestsAtOnceAreNotDeniedWhereAnEvenPartIsUnderOne() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.oneOf(500, false, 7, List.of(100.0, 100.0)).list(0, 1, 2, 3);
    for (long id = 1; id <= 40; id++) {
      fixture.at(id * 100L);
      fixture.decide.requestArrived(
          id,
          0,
          1,
          id,
          DecisionEngineFixture.ms(id * 100 + 900),
          DecisionEngineFixture.START,
          false,
          false);
      fixture
          .pull()
          .attemptEnded(id, 0, AttemptOutcome.CONNECTION_LOST)
          .attemptEnded(id, 1, AttemptOutcome.CONNECTION_LOST)
          .attemptEnded(id, 2, AttemptOutcome.CONNECTION_LOST)
          .pull();
    }
    fixture.at(6000);
    for (long id = 101; id <= 105; id++) {
      fixture.decide.requestArrived(
          id, 0, 0, id, DecisionEngineFixture.ms(7000), DecisionEngineFixture.START, false, false);
    }
    assertEquals(0, fixture.pull().said.stream().filter(s -> s.matches("deny 10[1-5]")).count());
  }

  @Test
  void aPartUnderOneFetchIsSpentOverTimeNotByEachProxyAtOnce() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.oneOf(500, false, 7, List.of()).list(0, 1, 2, 3);
    for (long id = 1; id <= 10; id++) {
      fixture.at(id);
      fixture.decide.requestArrived(
          id, 0, 0, id, DecisionEngineFixture.ms(900), DecisionEngineFixture.START, false, false);
      fixture.pull().attemptEnded(id, 0, AttemptOutcome.MISS).pull();
    }
    assertEquals(1, fixture.sentTo.stream().filter(n -> n == 0).count());
    fixture.at(30).attemptEnded(1, 1, AttemptOutcome.SERVED).pull();
    assertEquals(1, fixture.sentTo.stream().filter(n -> n == 0).count());
    fixture.at(890).pull();
    fixture
        .at(10_000)
        .decide
        .requestArrived(
            11,
            0,
            0,
            11,
            DecisionEngineFixture.ms(11_000),
            DecisionEngineFixture.START,
            false,
            false);
    fixture.pull().attemptEnded(11, 0, AttemptOutcome.MISS).pull();
    assertEquals(2, fixture.sentTo.stream().filter(n -> n == 0).count());
  }

  @Test
  void aNodeIsJudgedByWhatPeersTellAndOnlyFailuresAreTold() {
    DecisionEngineFixture fixture = DecisionEngineFixture.oneOf(500, true, 7, List.of()).list(1, 2);
    fixture.requestArrived(1, 8).pull().attemptEnded(1, 0, AttemptOutcome.SERVED).pull();
    assertEquals(0, fixture.count("tell"));
    long top = fixture.sentTo.get(0);
    for (int i = 0; i < 20; i++) {
      fixture.decide.peerReported(top, false);
    }
    fixture.decide.peerReported(77, false);
    int kept = 0;
    for (long id = 2; id <= 41; id++) {
      fixture.requestArrived(id, 8).pull();
      kept += fixture.sentTo.get(fixture.sentTo.size() - 1) == top ? 1 : 0;
      fixture.decide.requestAbandoned(id);
      fixture.attemptEnded(id, 0, AttemptOutcome.CANCELLED);
    }
    assertTrue(kept < 20, "kept " + kept);
    fixture.requestArrived(50, 9).pull().attemptEnded(50, 0, AttemptOutcome.REJECTED).pull();
    assertTrue(fixture.said.stream().anyMatch(s -> s.startsWith("tell") && s.endsWith("false")));
  }

  @Test
  void anOverdueAttemptMovesOnlyWhereMovingDoesMuchBetter() {
    for (boolean movingHelps : new boolean[] {true, false}) {
      DecisionEngineFixture fixture =
          DecisionEngineFixture.through(Effect.IDEMPOTENT).list(1, 2, 3, 4);
      int late = 0;
      for (long id = 1; id <= 200; id++) {
        fixture.at(id * 1000);
        fixture.decide.requestArrived(
            id,
            0,
            0,
            id,
            DecisionEngineFixture.ms(id * 1000 + 900),
            DecisionEngineFixture.START,
            false,
            false);
        long before = fixture.count("withdraw");
        fixture.pull().at(id * 1000 + 200).pull();
        boolean moved = fixture.count("withdraw") > before;
        late += moved && id > 100 ? 1 : 0;
        int last = 0;
        if (moved) {
          fixture.attemptEnded(id, 0, AttemptOutcome.CANCELLED).pull();
          last = 1;
        }
        fixture.at(id * 1000 + (moved == movingHelps ? 250 : 500));
        fixture.attemptEnded(id, last, AttemptOutcome.SERVED).pull();
      }
      assertTrue(movingHelps ? late >= 8 : late < 4, movingHelps + ": " + late);
    }
  }

  @Test
  void theGateDoesNotShrinkWithTheFleet() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.oneOf(1, false, 7, List.of())
            .list(0, 1, 2, 3, 4, 5, 6)
            .pull()
            .list(0, 1);
    for (long id = 1; id <= 20; id++) {
      fixture.requestArrived(id, id).pull().attemptEnded(id, 0, AttemptOutcome.MISS).pull();
    }
    assertTrue(fixture.sentTo.stream().filter(n -> n == 0).count() > 10);
  }

  @Test
  void aProxyThatMeetsMoreOfAllTenantsDeniesOnlyTheOneThatAsksMost() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.oneOf(10, false, 7, List.of(10.0, 10.0)).list(0, 1, 2, 3);
    long id = 0;
    int rejected = 0;
    for (int tenth = 1; tenth <= 300; tenth++) {
      fixture.at(tenth * 100L);
      int tenant = tenth % 5 == 0 ? 0 : 1;
      fixture.decide.requestArrived(
          ++id,
          0,
          tenant,
          id,
          DecisionEngineFixture.ms(tenth * 100 + 900),
          DecisionEngineFixture.START,
          false,
          false);
      fixture.pull();
      rejected += tenant == 0 && fixture.said.contains("deny " + id) ? 1 : 0;
      fixture
          .attemptEnded(id, 0, AttemptOutcome.CONNECTION_LOST)
          .attemptEnded(id, 1, AttemptOutcome.CONNECTION_LOST)
          .attemptEnded(id, 2, AttemptOutcome.CONNECTION_LOST)
          .pull();
    }
    assertTrue(fixture.count("deny") > 100, "denied in all " + fixture.count("deny"));
    assertTrue(rejected < 10, "denied of the modest " + rejected);
  }

  @Test
  void aFetchThatFailedLateTellsHowLongTheNextOneTakes() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.oneOf(1, false, 7, List.of()).list(0, 1, 2);
    fixture.requestArrived(1, 8).pull().attemptEnded(1, 0, AttemptOutcome.MISS).pull();
    fixture
        .at(900)
        .decide
        .attemptEnded(1, 1, AttemptOutcome.TIMED_OUT, DecisionEngineFixture.ms(890), true);
    fixture.decide.requestArrived(
        2, 0, 0, 9, DecisionEngineFixture.ms(1300), DecisionEngineFixture.START, false, false);
    fixture.pull().attemptEnded(2, 0, AttemptOutcome.MISS).pull();
    assertTrue(fixture.said.contains("deny 2"));
  }

  /**
   * Seed 7 with connections that come up late sent a marked repeat when its group had forgotten the
   * first.
   */
  @Test
  void aMarkedRepeatMayBeSentOnlyWhileTheFirstIsRemembered() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.through(Effect.IDEMPOTENCY_KEYED)
            .list(1, 2)
            .requestArrived(7, 5)
            .pull();
    fixture.at(100).attemptEnded(7, 0, AttemptOutcome.CONNECTION_LOST).pull();
    assertEquals(
        List.of(DecisionEngineFixture.ms(1000), DecisionEngineFixture.ms(200)), fixture.mostToSend);
    DecisionEngineFixture free =
        DecisionEngineFixture.through(Effect.IDEMPOTENT).list(1, 2).requestArrived(7, 5).pull();
    free.at(100).attemptEnded(7, 0, AttemptOutcome.CONNECTION_LOST).pull();
    assertEquals(
        List.of(DecisionEngineFixture.ms(1000), DecisionEngineFixture.ms(900)), free.mostToSend);
  }
}
