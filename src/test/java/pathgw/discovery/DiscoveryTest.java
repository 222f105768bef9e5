package pathgw.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Promise;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pathgw.codec.MetaCommand;
import pathgw.config.Address;
import pathgw.config.Config;
import pathgw.config.Json;
import pathgw.config.TestConfig;
import pathgw.decision.DecisionEngine;
import pathgw.decision.EndpointState;
import pathgw.decision.NodeSnapshot;
import pathgw.fixture.NetworkFixture;
import pathgw.observability.RequestObserver;
import pathgw.request.RequestHandler;
import pathgw.snapshot.SnapshotFile;
import pathgw.transport.Connection;
import pathgw.transport.FakeConnection;
import pathgw.upstream.UpstreamPools;

/** Watches and polls of the endpoint list, and what each kind of end does to the lease on it. */
class DiscoveryTest extends NetworkFixture {
  private Discovery discovery() {
    return new Discovery(this::dial, timers, driver, pools, CONFIG, new SnapshotFile(), what -> {});
  }

  private static Json list(int seq, boolean whole, String health) {
    return Json.read(text(seq, whole, health).getBytes(StandardCharsets.UTF_8), "list");
  }

  private static String text(int seq, boolean whole, String health) {
    return "{\"seq\":"
        + seq
        + ",\"whole\":"
        + whole
        + ",\"hosts\":[{\"host\":\"n1\","
        + "\"dial\":\"127.0.0.1:1\",\"site\":\"here\",\"class\":\"std\",\"block\":0,\"health\":\""
        + health
        + "\",\"share\":1,\"born_ms\":0}]}";
  }

  @Test
  void whatWasLearntIsForgottenAfterTheFirstNewsEvenIfItIsAChange(@TempDir Path folder) {
    long id = MetaCommand.hash("n1");
    Endpoint n1 = new Endpoint("n1", ANYWHERE, EndpointState.READY, 0, 0, 0, 0);
    for (boolean late : new boolean[] {false, true}) {
      DecisionEngine before = new DecisionEngine(CONFIG.settings(), 1);
      before.beginEndpointUpdate(true, false);
      before.updateEndpoint(id, EndpointState.READY, null, 0, 0, 0);
      before.restore(id, new NodeSnapshot(0, 4, 2.9, true));
      SnapshotFile.write(folder.resolve("learnt"), before, Map.of(id, n1.startedMs()), 1000);
      start();
      Discovery discovery =
          new Discovery(
              this::dial,
              timers,
              driver,
              pools,
              CONFIG,
              SnapshotFile.read(folder.resolve("learnt"), 1000),
              what -> {});
      if (late) {
        String nothing = "{\"seq\":1,\"whole\":false,\"hosts\":[]}";
        discovery.take(Json.read(nothing.getBytes(StandardCharsets.UTF_8), "list"), false);
      }
      discovery.take(list(5, false, "ready"), false);
      boolean[] suspected = new boolean[1];
      driver.submit(engine -> suspected[0] = engine.snapshot(id).suspected());
      assertEquals(!late, suspected[0]);
    }
  }

  @Test
  void aChangeThatAWholeListHasOvertakenIsNotApplied() {
    Discovery discovery = discovery();
    discovery.take(list(5, true, "ready"), false);
    discovery.take(list(4, false, "gone"), false);
    client().gives(READ);
    assertEquals(1, dialled.size());
    discovery.take(list(6, false, "draining"), false);
    FakeConnection late = client();
    late.gives(READ);
    assertEquals(1, dialled.size(), "nothing new once told");
  }

  private static final String BEGINS = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  private static String chunk(int seq, boolean whole, String health) {
    String line = text(seq, whole, health) + "\n";
    return Integer.toHexString(line.length()) + "\r\n" + line + "\r\n";
  }

  @Test
  void anOpenWatchEndsOnlyOnceAnotherHasSpoken() {
    Discovery discovery = discovery();
    discovery.watch();
    dialled.get(0).gives(BEGINS + chunk(5, true, "ready"));
    discovery.watch();
    discovery.watch();
    assertEquals(2, dialled.size(), "one at a time is asked for");
    dialled.get(1).gives("HTTP/1.1 503 Later\r\nContent-Length: 0\r\n\r\n");
    assertFalse(dialled.get(0).closed);
    discovery.watch();
    dialled.get(0).gives(chunk(6, false, "draining"));
    discovery.take(list(5, true, "ready"), false);
    client().gives(READ);
    assertEquals(3, dialled.size(), "nothing to a node that the open watch says is draining");
    dialled.get(2).gives(BEGINS + chunk(7, true, "ready"));
    assertTrue(dialled.get(0).closed);
    client().gives(READ);
    assertEquals(4, dialled.size());
  }

  @Test
  void aWatchThatMissesALineIsAskedForAnewBeforeItsNewsCountsAsTold() {
    Discovery discovery = discovery();
    driver.reaches(discovery::watch, discovery::fetch, (node, success) -> {}, node -> {});
    driver.submit(engine -> {});
    pass(3400);
    assertEquals(1, dialled.size(), "a call may wait for its turn");
    pass(1200);
    assertTrue(dialled.get(0).closed, "but not for as long as its news may stay untold");
    assertEquals(2, dialled.size());
    dialled.remove(0);
    dialled.get(0).gives(BEGINS + chunk(5, true, "ready"));
    pass(2100);
    dialled.get(0).gives("1\r\n\n\r\n");
    pass(2200);
    assertEquals(1, dialled.size(), "one line may be late");
    pass(350);
    assertEquals(2, dialled.size(), "another is asked for within 2.5 s of the last line");
    assertFalse(dialled.get(0).closed, "it may be late only");
    dialled.get(1).gives(BEGINS + chunk(5, false, "ready"));
    assertTrue(dialled.get(0).closed);
    pass(2300);
    assertEquals(2, dialled.size());
  }

  /**
   * The last line was heard at 0; the service then turns this proxy away until the clock has run
   * out.
   */
  @Test
  void behindASilentWatchNothingGoesToNodesOnceItsNewsMayCountAsTold() {
    Discovery discovery = discovery();
    driver.reaches(discovery::watch, discovery::fetch, (node, success) -> {}, pools::closeIdle);
    driver.submit(engine -> {});
    FakeConnection first = dialled.get(0);
    first.gives(BEGINS + chunk(5, true, "ready"));
    for (int ms = 0; ms < 5900; ms += 10) {
      pass(10);
      dialled.stream()
          .filter(s -> s != first && !s.closed && s.written.toString().startsWith("GET"))
          .toList()
          .forEach(s -> s.gives("HTTP/1.1 503 Later\r\nContent-Length: 0\r\n\r\n"));
    }
    int calls = dialled.size() - 1;
    assertTrue(calls >= 4 && calls <= 8, calls + " calls inside the clock, by one proxy");
    asks();
    assertEquals(1, attempts());
    pass(110);
    asks();
    asks();
    assertEquals(1, attempts(), "a quarter of the fleet may have left");
    first.gives("1\r\n\n\r\n");
    asks();
    assertEquals(1, attempts(), "a watch that was silent is broken");
    discovery.watch();
    dialled.get(dialled.size() - 1).gives(BEGINS + chunk(5, false, "ready"));
    asks();
    assertEquals(2, attempts(), "whole at once");
  }

  /**
   * Down for longer than the clock: it may have had news, and been there to tell it, before it
   * went.
   */
  @Test
  void howeverOftenAskedAServiceThatFailsDoesNotMakeTheListHoldForLonger() {
    Discovery discovery = discovery();
    driver.reaches(discovery::watch, discovery::fetch, (node, success) -> {}, pools::closeIdle);
    driver.submit(engine -> {});
    dialled.get(0).gives(BEGINS + chunk(5, true, "ready"));
    asks();
    pass(1500);
    dialled.get(0).breaks();
    for (int ms = 1500; ms < 5900; ms += 10) {
      pass(10);
      dialled.stream()
          .filter(s -> !s.closed && s.written.toString().startsWith("GET"))
          .toList()
          .forEach(FakeConnection::breaks);
    }
    asks();
    assertEquals(2, attempts(), "until 6 s after the line");
    pass(110);
    asks();
    assertEquals(2, attempts());
    discovery.watch();
    dialled.get(dialled.size() - 1).gives(BEGINS + chunk(5, false, "ready"));
    asks();
    assertEquals(3, attempts(), "whole at once");
  }

  /**
   * While an agent is down a call to it stays silent, and what it gets at its return counts at
   * once.
   */
  @Test
  void anAgentThatPushesIsAskedAgainWithinTheGrace() {
    Config pushed =
        Config.read(
            TestConfig.json().replace("\"ask\"", "\"push\"").getBytes(StandardCharsets.UTF_8));
    Discovery discovery =
        new Discovery(this::dial, timers, driver, pools, pushed, new SnapshotFile(), what -> {});
    driver.reaches(discovery::watch, discovery::fetch, (node, success) -> {}, pools::closeIdle);
    discovery.renewLease();
    dialled.get(0).gives(BEGINS + chunk(5, true, "ready"));
    dialled.get(0).breaks();
    asks();
    assertEquals(0, attempts(), "with no watch all that is there counts");
    for (int asked = 1; asked < 8; asked++) {
      pass(470);
      assertTrue(
          dialled.size() > asked && dialled.size() < 3 + 3 * asked, dialled.size() + " calls");
    }
    while (dialled.get(dialled.size() - 1).closed) {
      pass(10);
    }
    dialled.get(dialled.size() - 1).gives(BEGINS + chunk(5, false, "ready"));
    asks();
    assertEquals(1, attempts());
  }

  /**
   * Of two entries the later counts, and a node that is back gets nothing over its old connections.
   */
  @Test
  void aNodeNamedTwiceIsWhatIsSaidLastAndOneThatMovedIsMetAnew() {
    Discovery discovery = discovery();
    String at1 = text(5, true, "ready").replace("]}", "");
    String entry = at1.substring(at1.indexOf('[') + 1);
    discovery.take(
        Json.read(
            (at1 + "," + entry.replace("ready", "draining") + "]}")
                .getBytes(StandardCharsets.UTF_8),
            "list"),
        false);
    asks();
    assertEquals(0, attempts(), "leaves by its second entry");
    String gone = text(6, false, "gone").replace("]}", "");
    discovery.take(
        Json.read(
            (gone + "," + entry.replace("127.0.0.1:1", "127.0.0.1:2") + "]}")
                .getBytes(StandardCharsets.UTF_8),
            "list"),
        false);
    asks();
    assertEquals(1, attempts());
    FakeConnection first = dialled.get(0);
    discovery.take(
        Json.read(
            text(7, false, "ready")
                .replace("\"born_ms\":0", "\"born_ms\":1")
                .getBytes(StandardCharsets.UTF_8),
            "list"),
        false);
    asks();
    assertEquals(2, attempts());
    assertEquals(1, first.timesWritten, "started anew it is met over a connection of its own");
  }

  @Test
  void whatWaitsForAConnectionToANodeThatLeavesIsTakenBack() {
    for (String health : List.of("draining", "gone")) {
      start();
      List<Promise<Connection>> connecting = new ArrayList<>();
      pools =
          new UpstreamPools(
              to -> {
                connecting.add(Promise.promise());
                return connecting.get(connecting.size() - 1).future();
              },
              this::dial,
              timers,
              CONFIG,
              8);
      requestHandler =
          new RequestHandler(timers, driver, pools, CONFIG.answerSlack(), RequestObserver.NONE);
      Discovery discovery = discovery();
      discovery.take(list(5, true, "ready"), false);
      FakeConnection asked = client();
      asked.gives(READ);
      discovery.take(list(6, false, health), false);
      assertTrue(
          asked.written.toString().startsWith("SERVER_ERROR busy"), "no other node: told at once");
      FakeConnection up = new FakeConnection();
      connecting.get(0).complete(up);
      assertEquals("", up.written.toString(), health);
    }
  }

  @Test
  void aListOverManyLinesIsReadAsOne() {
    Discovery discovery = discovery();
    discovery.watch();
    dialled.get(0).gives(BEGINS + chunk(5, true, "ready"));
    String indented =
        text(6, false, "draining")
                .replace("{", "{\n  ")
                .replace(",\"", ",\n  \"")
                .replace("\"site\":\"here\"", "\"site\":\"a } \\\" {\"")
            + "\n";
    dialled.get(0).gives(Integer.toHexString(indented.length()) + "\r\n" + indented + "\r\n");
    client().gives(READ);
    assertEquals(1, dialled.size(), "the node is draining");
    assertFalse(dialled.get(0).closed);
  }

  @Test
  void aServiceThatCountsAnewBehindASilentWatchIsBelieved() {
    Discovery discovery = discovery();
    discovery.watch();
    dialled.get(0).gives(BEGINS + chunk(41, true, "ready"));
    discovery.watch();
    dialled.get(1).gives(BEGINS + chunk(2, true, "draining"));
    client().gives(READ);
    assertEquals(2, dialled.size());
    dialled.get(1).gives(chunk(3, false, "ready"));
    client().gives(READ);
    assertEquals(3, dialled.size());
  }

  @Test
  void whatTheServiceThatWasLeftSaysLaterIsOvertaken() {
    Discovery discovery = discovery();
    discovery.watch();
    dialled.get(0).gives(BEGINS + chunk(5, true, "ready"));
    discovery.move(new Address("127.0.0.1", 7));
    assertFalse(dialled.get(0).closed, "it goes on until the new one speaks");
    discovery.take(list(2, true, "draining"), false);
    dialled.get(0).gives(chunk(6, false, "ready"));
    client().gives(READ);
    assertEquals(2, dialled.size());
    dialled.get(1).gives(BEGINS + chunk(3, true, "ready"));
    assertTrue(dialled.get(0).closed);
    client().gives(READ);
    assertEquals(3, dialled.size());
  }

  @Test
  void theWatchMovesToANewAddressAndStartsFromNothing() {
    Discovery discovery = discovery();
    discovery.watch();
    discovery.take(list(5, true, "ready"), false);
    discovery.move(CONFIG.discovery());
    discovery.move(new Address("127.0.0.1", 7));
    assertEquals(
        List.of(
            "GET /discovery/hosts?follow=1 HTTP/1.1\r\nHost: 127.0.0.1:1\r\n\r\n",
            "GET /discovery/hosts?follow=1 HTTP/1.1\r\nHost: 127.0.0.1:7\r\n\r\n"),
        dialled.stream().map(s -> s.written.toString()).toList());
    assertTrue(dialled.get(0).closed, "the old one is not kept");
    discovery.take(list(2, false, "draining"), false);
    client().gives(READ);
    assertEquals(2, dialled.size(), "versions may count otherwise there");
  }
}
