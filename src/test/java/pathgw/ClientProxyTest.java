package pathgw;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * What has changed for a proxy that is one client's alone: hundreds of them, each with few
 * accesses.
 */
class ClientProxyTest {
  private static final long[] NODES = {0, 1, 2, 3, 4};

  @Test
  void aConnectionThatIdlesLongerThanItPaysIsClosedAndOneUsedAgainIsNot() {
    Bed bed = Bed.ofAClient(50).list(NODES).asks(1, 0, 0, 8);
    long node = bed.sentTo.get(0);
    bed.outcome(1, 0, How.DELIVERED, 5).at(100).asks(2, 0, 0, 9).at(5_000).pull();
    assertTrue(bed.said.contains("close " + node));
    Bed free = new Bed(false, Settings.Effect.REISSUABLE, Settings.Group.ALL, java.util.List.of());
    free.list(NODES).access(1, 8).pull().outcome(1, 0, How.DELIVERED).pull().at(60_000).pull();
    assertEquals(
        0, free.count("close"), "where nothing is paid for it the wire's own time decides");
  }

  private static long score(long node, long key) {
    return Decide.score(new Node(node), Long.toString(key).getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void aRefusalDropsANodeForAMomentAndAsksNobody() {
    Bed bed = Bed.ofAClient(50).list(NODES).asks(1, 0, 0, 8);
    long node = bed.sentTo.get(0);
    bed.outcome(1, 0, How.NO_CONNECTION, 2);
    assertNotEquals(node, bed.sentTo.get(1));
    assertEquals(0, bed.count("fetch list"));
    long another =
        LongStream.iterate(9, k -> k + 1)
            .filter(
                k ->
                    LongStream.rangeClosed(1, 4)
                        .allMatch(n -> Decide.compare(score(node, k), node, score(n, k), n) >= 0))
            .findFirst()
            .getAsLong();
    bed.at(20_000).asks(2, 0, 0, another);
    assertEquals(node, bed.sentTo.get(2));
  }

  @Test
  void withThreeHandOffsASecondCacheIsTriedAndTheOriginStillAsked() {
    Bed bed = Bed.ofAClient(50).list(NODES).asks(1, 0, 0, 8).outcome(1, 0, How.ERROR, 5);
    bed.outcome(1, 1, How.NOTHING_STORED, 5);
    assertEquals(3, bed.sentTo.stream().distinct().count());
    assertEquals(0L, bed.sentTo.get(2));
  }

  @Test
  void aBusyProxyDeniesNoShareWhileNothingIsStrained() {
    Bed bed = Bed.ofAClient(10, 10).list(NODES);
    for (int id = 1; id <= 200; id++) {
      bed.at(id * 20L).asks(id, 0, id % 3 == 0 ? 0 : 1, id);
      bed.outcome(id, 0, id % 10 == 0 ? How.CUT : How.DELIVERED, 20).outcome(id, 1, How.CUT, 20);
    }
    assertEquals(
        0, bed.said.stream().filter(s -> s.startsWith("deny") && !s.endsWith("0")).count());
  }

  @Test
  void aShortAccessGoesRoundANodeThatHasALongOneOut() {
    Bed bed = Bed.ofAClient(50).list(NODES);
    for (int id = 1; id <= 20; id++) {
      bed.at(id * 1000L).asks(id, 0, 0, id).outcome(id, 0, How.DELIVERED, 800);
    }
    bed.at(30_000).asks(50, 0, 0, 8).asks(51, 1, 0, 8);
    assertNotEquals(bed.sentTo.get(20), bed.sentTo.get(21));
    bed.outcome(50, 0, How.DELIVERED, 20).at(60_000).asks(52, 1, 0, 8);
    assertEquals(bed.sentTo.get(20), bed.sentTo.get(22));
  }

  @Test
  void theKindThatIsLateMoreOftenKeepsAPartOfItsKeys() {
    Bed bed = Bed.ofAClient(50).list(0);
    bed.decide.listBegins(false, false);
    LongStream.rangeClosed(1, 8)
        .forEach(n -> bed.decide.listed(n, Standing.READY, null, n % 2 == 0 ? 1 : 2, 0, 0));
    bed.decide.listEnds();
    int weak = 0;
    for (int id = 1; id <= 600; id++) {
      bed.at(id * 100L).asks(id, 0, 0, id);
      long node = bed.sentTo.get(bed.sentTo.size() - 1);
      weak += id > 400 && node % 2 == 0 ? 1 : 0;
      bed.outcome(id, 0, How.DELIVERED, node % 2 == 0 && id % 3 != 0 ? 1400 : 50);
    }
    assertTrue(weak > 10 && weak < 80, weak + " of 200");
  }

  @Test
  void namedWorkSetsHowLongAnAnswerMayTake() {
    Pace pace = new Pace();
    assertEquals(1, pace.scale(Bed.START));
    assertEquals(1, pace.scale(Bed.ms(100)));
    assertTrue(pace.scale(Bed.ms(1000)) > 3 && pace.scale(Bed.ms(1)) < 0.6);
  }

  @Test
  void aCrowdIsTakenForOneBeforeThoseInItAreLost() {
    Bed bed = Bed.ofAClient().list(NODES);
    for (int id = 1; id <= 200; id++) {
      bed.decide.access(id, 0, 0, id, Bed.ms(5000), Bed.ms(100), false, false);
    }
    bed.pull().at(1_000).asks(300, 0, 0, 300);
    assertEquals(0, bed.count("deny"));
    bed.at(1_600).pull().asks(301, 0, 0, 301);
    assertTrue(bed.said.contains("deny 301"), "0.9 s before the first of them is given up");
  }

  @Test
  void whatWasLearntOfANodeGoesOnAndWhatIsSeenSinceStands() {
    Bed bed = Bed.ofAClient(50).list(NODES);
    bed.decide.recall(99, new Learnt(0, 9, 3, true));
    bed.decide.recall(1, new Learnt(0, 9, 3, true));
    assertTrue(bed.decide.learnt(1).doubtful());
    bed.asks(1, 0, 0, 8).outcome(1, 0, How.DELIVERED, 5);
    long met = bed.sentTo.get(0);
    bed.decide.recall(met, new Learnt(0, 9, 3, true));
    assertFalse(bed.decide.learnt(met).doubtful());
    bed.change(1, Standing.READY, Bed.ms(1)).change(1, Standing.READY, Bed.ms(50));
    assertFalse(bed.decide.learnt(1).doubtful(), "started anew");
    assertEquals(null, bed.decide.learnt(99));
  }
}
