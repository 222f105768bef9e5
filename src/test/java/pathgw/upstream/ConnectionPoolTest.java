package pathgw.upstream;

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
import pathgw.codec.MetaCodec;
import pathgw.codec.MetaCommand;
import pathgw.decision.AttemptOutcome;
import pathgw.decision.EndpointState;
import pathgw.discovery.Endpoint;
import pathgw.transport.Connection;
import pathgw.transport.FakeConnection;

/** Connections to one cache node, and what the end of each attempt on them means. */
class ConnectionPoolTest extends PoolFixture {
  @Test
  void onlyWhatHadItsLastByteWrittenMayHaveRun() {
    Set<AttemptEnd> never =
        Arrays.stream(AttemptEnd.values())
            .filter(e -> e.how().neverRan())
            .collect(Collectors.toSet());
    assertEquals(
        EnumSet.of(
            AttemptEnd.MISS,
            AttemptEnd.REJECTED,
            AttemptEnd.CONNECT_REFUSED,
            AttemptEnd.CONNECT_TOO_LONG,
            AttemptEnd.BROKE_BEFORE_LAST_BYTE,
            AttemptEnd.TIMED_OUT_BEFORE_LAST_BYTE,
            AttemptEnd.CANCELLED_BEFORE_LAST_BYTE,
            AttemptEnd.TOO_LATE_TO_SEND,
            AttemptEnd.REQUEST_OVER,
            AttemptEnd.NODE_LEAVING,
            AttemptEnd.NOT_TRIED),
        never);
    assertEquals(AttemptOutcome.CONNECTION_LOST, AttemptEnd.BROKE_AFTER_LAST_BYTE.how());
    assertEquals(AttemptOutcome.TIMED_OUT, AttemptEnd.SILENT.how());
  }

  @Test
  void aBreakBeforeTheLastByteNeverRan() throws MetaCommand.Malformed {
    Future<Connection> side = dial(ANYWHERE);
    dialled.get(0).writes = false;
    new ConnectionPool(
            to -> side,
            MetaCodec::new,
            timers,
            new ConnectionLimit(1),
            ANYWHERE,
            Duration.ofSeconds(11))
        .send(attempt());
    dialled.get(0).breaks();
    assertEquals(List.of("BROKE_BEFORE_LAST_BYTE"), ends);
  }

  @Test
  void aBreakAfterTheLastByteMayHaveRun() throws MetaCommand.Malformed {
    sent().breaks();
    assertEquals(List.of("BROKE_AFTER_LAST_BYTE"), ends);
  }

  @Test
  void aRefusedConnectionNeverRanAndGivesItsSocketBack() throws MetaCommand.Malformed {
    ConnectionLimit sockets = new ConnectionLimit(1);
    new ConnectionPool(
            to -> Future.failedFuture("refused"),
            MetaCodec::new,
            timers,
            sockets,
            ANYWHERE,
            Duration.ofSeconds(11))
        .send(attempt());
    assertEquals(List.of("CONNECT_REFUSED"), ends);
    assertTrue(sockets.take());
  }

  @Test
  void anEndComesOnceWhateverFollows() throws MetaCommand.Malformed {
    Attempt attempt = attempt();
    link(1).send(attempt);
    attempt.cancel();
    attempt.end(AttemptEnd.ANSWERED, Buffer.buffer());
    assertEquals(List.of("CANCELLED"), ends);
    assertTrue(dialled.get(0).closed, "its answer could meet another command");
  }

  @Test
  void aConnectionThatIsUpTooLateCarriesNothing() throws MetaCommand.Malformed {
    Attempt late = attempt();
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
  void whatIsNotWrittenWholeByTheLastTimeForSendingIsTakenBack() throws MetaCommand.Malformed {
    Future<Connection> side = dial(ANYWHERE);
    dialled.get(0).writes = false;
    new ConnectionPool(
            to -> side,
            MetaCodec::new,
            timers,
            new ConnectionLimit(1),
            ANYWHERE,
            Duration.ofSeconds(11))
        .send(attempt());
    after(50);
    assertEquals(List.of(), ends);
    after(10);
    assertEquals(List.of("TIMED_OUT_BEFORE_LAST_BYTE"), ends);
    assertTrue(dialled.get(0).closed);
  }

  @Test
  void patienceEndsWithSilence() throws MetaCommand.Malformed {
    sent();
    nanos = Duration.ofMillis(400).toNanos();
    after(0);
    assertEquals(List.of("SILENT"), ends);
  }

  @Test
  void aValueGoesOnAsItCame() throws MetaCommand.Malformed {
    FakeConnection node = sent();
    node.gives("VA 2 Oa1 h");
    node.gives("1\r\n\r\n");
    assertEquals(List.of(), ends);
    node.gives("\r\n");
    assertEquals(List.of("ANSWERED VA 2 Oa1 h1\r\n\r\n\r\n"), ends);
  }

  @Test
  void anAnswerToAnotherRequestReachesNobody() throws MetaCommand.Malformed {
    sent().gives("VA 2 Ob2\r\nhi\r\n");
    assertEquals(List.of("PROTOCOL_ERROR"), ends);
    assertTrue(dialled.get(0).closed);
  }

  @Test
  void whatNodesSayIsToldApart() throws MetaCommand.Malformed {
    for (String line :
        new String[] {"EN Oa1", "SERVER_ERROR busy", "SERVER_ERROR failed", "HD Oa1 c9", "VA x"}) {
      link(1).send(attempt(line.startsWith("HD") ? "ms k1 1 Oa1 Pc=write" : READ));
      dialled.get(dialled.size() - 1).gives(line + "\r\n");
    }
    assertEquals(
        List.of("MISS", "REJECTED", "FAILED", "ANSWERED HD Oa1 c9\r\n", "PROTOCOL_ERROR"), ends);
  }

  @Test
  void aConnectionThatStoodIdleTooLongIsNotUsedAgain() throws MetaCommand.Malformed {
    ConnectionPool link = link(2);
    link.send(attempt());
    dialled.get(0).gives("EN Oa1\r\n");
    link.send(attempt());
    assertEquals(2, dialled.size(), "more may stand behind the answer");
    dialled.get(1).gives("EN Oa1\r\n");
    after(2);
    link.send(attempt());
    assertEquals(2, dialled.size(), "one that rests is used again");
    after(11_000);
    assertTrue(dialled.get(0).closed);
  }

  @Test
  void connectionsIdleElsewhereMakeRoom() throws MetaCommand.Malformed {
    ConnectionLimit sockets = new ConnectionLimit(1);
    ConnectionPool one = link(sockets, MetaCodec::new);
    ConnectionPool other = link(sockets, MetaCodec::new);
    one.send(attempt());
    other.send(attempt());
    assertEquals(List.of("NOT_TRIED"), ends, "what is out is not taken away");
    dialled.get(0).gives("EN Oa1\r\n");
    other.send(attempt());
    assertTrue(dialled.get(0).closed);
    assertEquals(2, dialled.size());
  }

  @Test
  void theModuleClosesWhatIdlesAtOneNodeAndNothingElse() throws MetaCommand.Malformed {
    nodes("n1", "n2");
    pools.send(MetaCommand.hash("n1"), attempt());
    pools.send(MetaCommand.hash("n2"), attempt());
    dialled.get(0).gives("EN Oa1\r\n");
    pools.send(MetaCommand.hash("n1"), attempt());
    driver.closeIdle(MetaCommand.hash("n1"));
    assertTrue(dialled.get(0).closed);
    assertFalse(dialled.get(1).closed || dialled.get(2).closed, "what is out goes on");
  }

  @Test
  void closingWhatStandsIdleKeepsTheWayToTheNode() throws MetaCommand.Malformed {
    nodes("n1");
    pools.send(MetaCommand.hash("n1"), attempt());
    dialled.get(0).gives("EN Oa1\r\n");
    pools.closeIdle();
    assertTrue(dialled.get(0).closed);
    pools.send(MetaCommand.hash("n1"), attempt());
    assertEquals(2, dialled.size());
    assertEquals(List.of("MISS"), ends, "the second is out");
  }

  @Test
  void moreThanAnAnswerMeetsNoOtherCommand() throws MetaCommand.Malformed {
    for (String more : new String[] {"VA 2 Oa1\r\nhi\r\n", "?", "\r\n"}) {
      ConnectionPool link = link(2);
      link.send(attempt());
      FakeConnection node = dialled.get(dialled.size() - 1);
      node.gives("VA 2 Oa1\r\nhi\r\n" + more);
      assertTrue(node.closed);
    }
    assertEquals(Set.of("ANSWERED VA 2 Oa1\r\nhi\r\n"), Set.copyOf(ends));
    link(1).send(attempt());
    FakeConnection later = dialled.get(dialled.size() - 1);
    later.gives("EN Oa1\r\n");
    later.gives("?");
    assertTrue(later.closed, "nor does what comes a moment later");
  }

  @Test
  void anAnswerThatStopsHalfWayIsNotWaitedFor() throws MetaCommand.Malformed {
    FakeConnection node = sent();
    node.gives("VA 9 Oa1\r\nhi");
    after(100);
    node.gives("ho");
    after(100);
    assertEquals(List.of(), ends);
    after(100);
    assertEquals(List.of("PROTOCOL_ERROR"), ends);
    assertTrue(node.closed);
  }

  @Test
  void anAnswerOfAnotherKindOrCutOffByTheEndReachesNobody() throws MetaCommand.Malformed {
    sent().gives("HD Oa1 c9\r\n");
    link(1).send(attempt());
    dialled.get(1).gives("VA 2 Oa1\r\nhi\r");
    dialled.get(1).breaks();
    assertEquals(List.of("PROTOCOL_ERROR", "BROKE_AFTER_LAST_BYTE"), ends);
  }

  @Test
  void ofAGoneNodeNothingIsKept() throws MetaCommand.Malformed {
    nodes("n1");
    pools.send(MetaCommand.hash("n1"), attempt());
    pools.gone(MetaCommand.hash("n1"));
    dialled.get(0).gives("EN Oa1\r\n");
    assertEquals(List.of("MISS"), ends, "what is out ends by itself");
    assertTrue(dialled.get(0).closed);
  }

  @Test
  void aNodeStartedAnewIsMetOnNewConnections() throws MetaCommand.Malformed {
    nodes("n1");
    pools.send(MetaCommand.hash("n1"), attempt());
    dialled.get(0).gives("EN Oa1\r\n");
    pools.update(new Endpoint("n1", ANYWHERE, EndpointState.READY, 7, 0, 0, 0));
    assertTrue(dialled.get(0).closed);
  }
}
