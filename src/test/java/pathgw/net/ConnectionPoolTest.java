package pathgw.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import pathgw.How;
import pathgw.Standing;

/** Connections to one cache node, and what the end of each attempt on them means. */
class ConnectionPoolTest extends PoolFixture {
  @Test
  void onlyWhatHadItsLastByteWrittenMayHaveRun() {
    Set<End> never =
        Arrays.stream(End.values())
            .filter(e -> e.how().surelyNeverRan())
            .collect(Collectors.toSet());
    assertEquals(
        EnumSet.of(
            End.NOTHING_STORED,
            End.TURNED_AWAY,
            End.CONNECT_REFUSED,
            End.CONNECT_TOO_LONG,
            End.BROKE_BEFORE_LAST_BYTE,
            End.SILENT_BEFORE_LAST_BYTE,
            End.WITHDRAWN_BEFORE_LAST_BYTE,
            End.TOO_LATE_TO_SEND,
            End.NOT_WANTED,
            End.NODE_LEAVES,
            End.NOT_TRIED),
        never);
    assertEquals(How.CUT, End.BROKE_AFTER_LAST_BYTE.how());
    assertEquals(How.TIMED_OUT, End.SILENT.how());
  }

  @Test
  void aBreakBeforeTheLastByteNeverRan() throws Command.Malformed {
    Future<Pipe> side = dial(ANYWHERE);
    dialled.get(0).writes = false;
    new NodeLink(
            to -> side, MetaWire::new, agenda, new Sockets(1), ANYWHERE, Duration.ofSeconds(11))
        .send(passage());
    dialled.get(0).breaks();
    assertEquals(List.of("BROKE_BEFORE_LAST_BYTE"), ends);
  }

  @Test
  void aBreakAfterTheLastByteMayHaveRun() throws Command.Malformed {
    sent().breaks();
    assertEquals(List.of("BROKE_AFTER_LAST_BYTE"), ends);
  }

  @Test
  void aRefusedConnectionNeverRanAndGivesItsSocketBack() throws Command.Malformed {
    Sockets sockets = new Sockets(1);
    new NodeLink(
            to -> Future.failedFuture("refused"),
            MetaWire::new,
            agenda,
            sockets,
            ANYWHERE,
            Duration.ofSeconds(11))
        .send(passage());
    assertEquals(List.of("CONNECT_REFUSED"), ends);
    assertTrue(sockets.take());
  }

  @Test
  void anEndComesOnceWhateverFollows() throws Command.Malformed {
    Passage passage = passage();
    link(1).send(passage);
    passage.withdraw();
    passage.end(End.ANSWERED, Buffer.buffer());
    assertEquals(List.of("WITHDRAWN"), ends);
    assertTrue(dialled.get(0).closed, "its answer could meet another command");
  }

  @Test
  void aConnectionThatIsUpTooLateCarriesNothing() throws Command.Malformed {
    Passage late = passage();
    after(60);
    link(1).send(late);
    assertEquals(List.of("TOO_LATE_TO_SEND"), ends);
    assertEquals("", dialled.get(0).written.toString());
    assertFalse(dialled.get(0).closed, "the next access finds it open");
  }

  /**
   * Of a long value the rest would reach the node when it has forgotten what it is to be told from.
   */
  @Test
  void whatIsNotWrittenWholeByTheLastTimeForSendingIsTakenBack() throws Command.Malformed {
    Future<Pipe> side = dial(ANYWHERE);
    dialled.get(0).writes = false;
    new NodeLink(
            to -> side, MetaWire::new, agenda, new Sockets(1), ANYWHERE, Duration.ofSeconds(11))
        .send(passage());
    after(50);
    assertEquals(List.of(), ends);
    after(10);
    assertEquals(List.of("SILENT_BEFORE_LAST_BYTE"), ends);
    assertTrue(dialled.get(0).closed);
  }

  @Test
  void patienceEndsWithSilence() throws Command.Malformed {
    sent();
    nanos = Duration.ofMillis(400).toNanos();
    after(0);
    assertEquals(List.of("SILENT"), ends);
  }

  @Test
  void aValueGoesOnAsItCame() throws Command.Malformed {
    FakeConnection node = sent();
    node.gives("VA 2 Oa1 h");
    node.gives("1\r\n\r\n");
    assertEquals(List.of(), ends);
    node.gives("\r\n");
    assertEquals(List.of("ANSWERED VA 2 Oa1 h1\r\n\r\n\r\n"), ends);
  }

  @Test
  void anAnswerToAnotherAccessReachesNobody() throws Command.Malformed {
    sent().gives("VA 2 Ob2\r\nhi\r\n");
    assertEquals(List.of("OUT_OF_STEP"), ends);
    assertTrue(dialled.get(0).closed);
  }

  @Test
  void whatNodesSayIsToldApart() throws Command.Malformed {
    for (String line :
        new String[] {"EN Oa1", "SERVER_ERROR busy", "SERVER_ERROR failed", "HD Oa1 c9", "VA x"}) {
      link(1).send(passage(line.startsWith("HD") ? "ms k1 1 Oa1 Pc=write" : READ));
      dialled.get(dialled.size() - 1).gives(line + "\r\n");
    }
    assertEquals(
        List.of("NOTHING_STORED", "TURNED_AWAY", "FAILED", "ANSWERED HD Oa1 c9\r\n", "OUT_OF_STEP"),
        ends);
  }

  @Test
  void aConnectionThatStoodIdleTooLongIsNotUsedAgain() throws Command.Malformed {
    NodeLink link = link(2);
    link.send(passage());
    dialled.get(0).gives("EN Oa1\r\n");
    link.send(passage());
    assertEquals(2, dialled.size(), "more may stand behind the answer");
    dialled.get(1).gives("EN Oa1\r\n");
    after(2);
    link.send(passage());
    assertEquals(2, dialled.size(), "one that rests is used again");
    after(11_000);
    assertTrue(dialled.get(0).closed);
  }

  @Test
  void connectionsIdleElsewhereMakeRoom() throws Command.Malformed {
    Sockets sockets = new Sockets(1);
    NodeLink one = link(sockets, MetaWire::new);
    NodeLink other = link(sockets, MetaWire::new);
    one.send(passage());
    other.send(passage());
    assertEquals(List.of("NOT_TRIED"), ends, "what is out is not taken away");
    dialled.get(0).gives("EN Oa1\r\n");
    other.send(passage());
    assertTrue(dialled.get(0).closed);
    assertEquals(2, dialled.size());
  }

  @Test
  void theModuleClosesWhatIdlesAtOneNodeAndNothingElse() throws Command.Malformed {
    nodes("n1", "n2");
    links.send(Command.hash("n1"), passage());
    links.send(Command.hash("n2"), passage());
    dialled.get(0).gives("EN Oa1\r\n");
    links.send(Command.hash("n1"), passage());
    desk.closeIdle(Command.hash("n1"));
    assertTrue(dialled.get(0).closed);
    assertFalse(dialled.get(1).closed || dialled.get(2).closed, "what is out goes on");
  }

  @Test
  void closingWhatStandsIdleKeepsTheWayToTheNode() throws Command.Malformed {
    nodes("n1");
    links.send(Command.hash("n1"), passage());
    dialled.get(0).gives("EN Oa1\r\n");
    links.closeIdle();
    assertTrue(dialled.get(0).closed);
    links.send(Command.hash("n1"), passage());
    assertEquals(2, dialled.size());
    assertEquals(List.of("NOTHING_STORED"), ends, "the second is out");
  }

  @Test
  void moreThanAnAnswerMeetsNoOtherCommand() throws Command.Malformed {
    for (String more : new String[] {"VA 2 Oa1\r\nhi\r\n", "?", "\r\n"}) {
      NodeLink link = link(2);
      link.send(passage());
      FakeConnection node = dialled.get(dialled.size() - 1);
      node.gives("VA 2 Oa1\r\nhi\r\n" + more);
      assertTrue(node.closed);
    }
    assertEquals(Set.of("ANSWERED VA 2 Oa1\r\nhi\r\n"), Set.copyOf(ends));
    link(1).send(passage());
    FakeConnection later = dialled.get(dialled.size() - 1);
    later.gives("EN Oa1\r\n");
    later.gives("?");
    assertTrue(later.closed, "nor does what comes a moment later");
  }

  @Test
  void anAnswerThatStopsHalfWayIsNotWaitedFor() throws Command.Malformed {
    FakeConnection node = sent();
    node.gives("VA 9 Oa1\r\nhi");
    after(100);
    node.gives("ho");
    after(100);
    assertEquals(List.of(), ends);
    after(100);
    assertEquals(List.of("OUT_OF_STEP"), ends);
    assertTrue(node.closed);
  }

  @Test
  void anAnswerOfAnotherKindOrCutOffByTheEndReachesNobody() throws Command.Malformed {
    sent().gives("HD Oa1 c9\r\n");
    link(1).send(passage());
    dialled.get(1).gives("VA 2 Oa1\r\nhi\r");
    dialled.get(1).breaks();
    assertEquals(List.of("OUT_OF_STEP", "BROKE_AFTER_LAST_BYTE"), ends);
  }

  @Test
  void ofAGoneNodeNothingIsKept() throws Command.Malformed {
    nodes("n1");
    links.send(Command.hash("n1"), passage());
    links.gone(Command.hash("n1"));
    dialled.get(0).gives("EN Oa1\r\n");
    assertEquals(List.of("NOTHING_STORED"), ends, "what is out ends by itself");
    assertTrue(dialled.get(0).closed);
  }

  @Test
  void aNodeStartedAnewIsMetOnNewConnections() throws Command.Malformed {
    nodes("n1");
    links.send(Command.hash("n1"), passage());
    dialled.get(0).gives("EN Oa1\r\n");
    links.listed(Command.hash("n1"), new Member("n1", ANYWHERE, Standing.READY, 7, 0, 0, 0));
    assertTrue(dialled.get(0).closed);
  }
}
