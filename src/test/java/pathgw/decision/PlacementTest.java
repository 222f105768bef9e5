package pathgw.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import pathgw.algorithm.RendezvousHash;
import pathgw.decision.Settings.DedupScope;
import pathgw.decision.Settings.Effect;

/** Tests of rendezvous hashing, hot keys and excluded nodes. */
class PlacementTest {
  private static long nodeOf(long key, long... list) {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.readThrough(Effect.IDEMPOTENT)
            .withEndpoints(list)
            .requestArrived(1, key)
            .decideAll();
    return fixture.attemptedNodes.get(0);
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
  void scoresAreComparedUnsignedAndTiesByNodeId() {
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
  void originIsNeverRankedAsCacheNode() {
    for (long key = 1; key <= 20; key++) {
      DecisionEngineFixture fixture =
          new DecisionEngineFixture(false, Effect.IDEMPOTENT, DedupScope.ALL, List.of())
              .withEndpoints(0, 1, 2);
      assertNotEquals(0L, fixture.requestArrived(1, key).decideAll().attemptedNodes.get(0));
    }
  }

  @Test
  void hotKeyIsSpreadOverNodesAndRareKeyIsNot() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.readThrough(Effect.IDEMPOTENT).withEndpoints(1, 2, 3, 4, 5);
    for (long id = 1; id <= 30; id++) {
      fixture
          .requestArrived(id, 8)
          .decideAll()
          .attemptEnded(id, 0, AttemptOutcome.SERVED)
          .decideAll();
    }
    assertTrue(fixture.attemptedNodes.stream().distinct().count() > 1);
    DecisionEngineFixture rare =
        DecisionEngineFixture.readThrough(Effect.IDEMPOTENT).withEndpoints(1, 2, 3, 4, 5);
    for (int id = 1; id <= 200; id++) {
      rare.at(id * 200L).requestArrived(id, 0, id % 50 == 0 ? 8 : id + 100, id * 200 + 900, false);
      rare.decideAll().attemptEnded(id, 0, AttemptOutcome.SERVED).decideAll();
    }
    assertEquals(
        1,
        LongStream.of(50, 100, 150, 200)
            .map(id -> rare.attemptedNodes.get((int) id - 1))
            .distinct()
            .count());
  }

  @Test
  void connectFailureExcludesNodeUntilNextEndpointListAndPollsForIt() {
    DecisionEngineFixture fixture =
        DecisionEngineFixture.readThrough(Effect.IDEMPOTENT)
            .withEndpoints(1, 2)
            .requestArrived(1, 8)
            .decideAll();
    long top = fixture.attemptedNodes.get(0);
    fixture
        .attemptEnded(1, 0, AttemptOutcome.CONNECT_FAILED)
        .decideAll()
        .attemptEnded(1, 1, AttemptOutcome.SERVED)
        .requestArrived(2, 8)
        .decideAll();
    assertEquals(1, fixture.count("poll"));
    assertNotEquals(top, fixture.attemptedNodes.get(2));
    fixture.withEndpoints(1, 2).requestArrived(3, 8).decideAll();
    assertEquals(top, fixture.attemptedNodes.get(3));
  }

  @Test
  void keyFarOverOneNodesShareIsHotEvenIfSeldomSeen() {
    DecisionEngineFixture fixture = DecisionEngineFixture.oneOf(500, true, 7, List.of());
    fixture.withEndpoints(LongStream.rangeClosed(1, 50).toArray());
    for (long id = 1; id <= 60; id++) {
      fixture.at(id * 500);
      fixture.requestArrived(id, 0, id % 2 == 0 ? 8 : id + 1000, id * 500 + 900, false);
      fixture.decideAll().attemptEnded(id, 0, AttemptOutcome.SERVED);
    }
    long sentToTop = 0;
    for (int i = 41; i < 60; i += 2) {
      sentToTop +=
          fixture.attemptedNodes.get(i).equals(nodeOf(8, LongStream.rangeClosed(1, 50).toArray()))
              ? 1
              : 0;
    }
    assertTrue(sentToTop < 5, "requests sent to the node with the top score: " + sentToTop);
  }
}
