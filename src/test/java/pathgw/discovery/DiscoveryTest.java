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
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pathgw.codec.MetaCommand;
import pathgw.config.Address;
import pathgw.config.Config;
import pathgw.config.Json;
import pathgw.config.TestConfig;
import pathgw.decision.DecisionEngine;
import pathgw.decision.EndpointState;
import pathgw.decision.NodeSnapshot;
import pathgw.fixture.NetworkFixture;
import pathgw.fixture.TestProxyActions;
import pathgw.observability.RequestObserver;
import pathgw.request.RequestHandler;
import pathgw.snapshot.RestoredSnapshots;
import pathgw.snapshot.SnapshotFile;
import pathgw.transport.Connection;
import pathgw.transport.FakeConnection;
import pathgw.upstream.UpstreamPools;

/** Tests the calls to discovery, and how each way in which they end affects the lease. */
class DiscoveryTest extends NetworkFixture {
  private static final Address OTHER_SERVICE = new Address("127.0.0.1", 7);
  private static final String RESPONSE_HEAD =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String EMPTY_LINE = "1\r\n\n\r\n";
  private static final String UNAVAILABLE = "HTTP/1.1 503 Later\r\nContent-Length: 0\r\n\r\n";

  /** How long after it was made an update that was not delivered takes effect, in milliseconds. */
  private static final int EFFECTIVE_AFTER_MS = 6000;

  private Discovery discovery() {
    return discovery(CONFIG, RestoredSnapshots.none());
  }

  private Discovery discovery(Config config, RestoredSnapshots snapshots) {
    return new Discovery(this::dial, timers, driver, pools, config, snapshots, counted -> {});
  }

  /** Makes discovery call when the engine requests it; without this, the test opens each call. */
  private void connectToEngine(Discovery discovery) {
    driver.setProxyActions(new TestProxyActions(pools, discovery));
  }

  private static String entry(String health) {
    return "{\"host\":\"n1\",\"dial\":\"127.0.0.1:1\",\"site\":\"here\",\"class\":\"std\","
        + "\"block\":0,\"health\":\""
        + health
        + "\",\"share\":1,\"born_ms\":0}";
  }

  private static String list(int version, boolean complete, String... entries) {
    return "{\"seq\":"
        + version
        + ",\"whole\":"
        + complete
        + ",\"hosts\":["
        + String.join(",", entries)
        + "]}";
  }

  /** A complete list of one node. */
  private static String completeList(int version, String health) {
    return list(version, true, entry(health));
  }

  /** A change of the list, which names the same node. */
  private static String change(int version, String health) {
    return list(version, false, entry(health));
  }

  private static void apply(Discovery discovery, String list) {
    Json json = Json.read(list.getBytes(StandardCharsets.UTF_8), "list");
    discovery.apply(json, EndpointListSource.POLL);
  }

  private static String chunk(String list) {
    String line = list + "\n";
    return Integer.toHexString(line.length()) + "\r\n" + line + "\r\n";
  }

  private FakeConnection lastDialled() {
    return dialled.get(dialled.size() - 1);
  }

  /** Advances time by 10 ms at a time and answers all open calls but one (null for all of them). */
  private void passAnsweringCalls(int ms, FakeConnection except, Consumer<FakeConnection> answer) {
    for (int passed = 0; passed < ms; passed += 10) {
      runForMillis(10);
      dialled.stream()
          .filter(each -> each != except && !each.closed && isDiscoveryCall(each))
          .toList()
          .forEach(answer);
    }
  }

  private static boolean isDiscoveryCall(FakeConnection connection) {
    return connection.written.toString().startsWith("GET");
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void snapshotIsDiscardedAfterFirstUpdateEvenIfThatIsAChange(
      boolean otherUpdateFirst, @TempDir Path folder) {
    long node = MetaCommand.hash("n1");
    Path file = folder.resolve("learnt");
    DecisionEngine earlierEngine = new DecisionEngine(CONFIG.settings(), 1);
    earlierEngine.beginEndpointUpdate(true, false);
    earlierEngine.updateEndpoint(node, EndpointState.READY, null, 0, 0, 0);
    earlierEngine.restore(node, new NodeSnapshot(0, 4, 2.9, true));
    SnapshotFile.write(file, earlierEngine, Map.of(node, 0L), 1000);
    Discovery discovery = discovery(CONFIG, SnapshotFile.read(file, 1000));
    if (otherUpdateFirst) {
      apply(discovery, list(1, false));
    }
    apply(discovery, change(5, "ready"));
    boolean[] suspected = new boolean[1];
    driver.submit(engine -> suspected[0] = engine.snapshot(node).suspected());
    assertEquals(!otherUpdateFirst, suspected[0]);
  }

  @Test
  void changeOlderThanCompleteListIsNotApplied() {
    Discovery discovery = discovery();
    apply(discovery, completeList(5, "ready"));
    apply(discovery, change(4, "gone"));
    client().deliver(READ);
    assertEquals(1, dialled.size());
    apply(discovery, change(6, "draining"));
    client().deliver(READ);
    assertEquals(1, dialled.size(), "no new request once the node is draining");
  }

  @Test
  void openWatchEndsOnlyOnceAnotherHasDeliveredAList() {
    Discovery discovery = discovery();
    discovery.watch();
    FakeConnection firstWatch = dialled.get(0);
    firstWatch.deliver(RESPONSE_HEAD + chunk(completeList(5, "ready")));
    discovery.watch();
    discovery.watch();
    assertEquals(2, dialled.size(), "one call at a time");
    dialled.get(1).deliver(UNAVAILABLE);
    assertFalse(firstWatch.closed);
    discovery.watch();
    firstWatch.deliver(chunk(change(6, "draining")));
    apply(discovery, completeList(5, "ready"));
    client().deliver(READ);
    assertEquals(3, dialled.size(), "the node is draining by the open watch");
    dialled.get(2).deliver(RESPONSE_HEAD + chunk(completeList(7, "ready")));
    assertTrue(firstWatch.closed);
    client().deliver(READ);
    assertEquals(4, dialled.size());
  }

  @Test
  void anotherWatchIsOpenedSoonAfterAMissingLine() {
    Discovery discovery = discovery();
    connectToEngine(discovery);
    driver.submit(engine -> {});
    runForMillis(3400);
    assertEquals(1, dialled.size(), "a call may wait for its turn");
    runForMillis(1200);
    assertTrue(dialled.get(0).closed, "but not until a missed update may be in effect");
    assertEquals(2, dialled.size());
    dialled.remove(0);
    dialled.get(0).deliver(RESPONSE_HEAD + chunk(completeList(5, "ready")));
    runForMillis(2100);
    dialled.get(0).deliver(EMPTY_LINE);
    runForMillis(2200);
    assertEquals(1, dialled.size(), "one line may be late");
    runForMillis(350);
    assertEquals(2, dialled.size(), "another watch is opened within 2.5 s of the last line");
    assertFalse(dialled.get(0).closed, "the line may only be late");
    dialled.get(1).deliver(RESPONSE_HEAD + chunk(change(5, "ready")));
    assertTrue(dialled.get(0).closed);
    runForMillis(2300);
    assertEquals(2, dialled.size());
  }

  /** The silent watch's last line arrives at time 0; afterwards all other calls are rejected. */
  @Test
  void nothingIsSentToNodesOnceAnUpdateMissedOnASilentWatchMayBeInEffect() {
    Discovery discovery = discovery();
    connectToEngine(discovery);
    driver.submit(engine -> {});
    FakeConnection silentWatch = dialled.get(0);
    silentWatch.deliver(RESPONSE_HEAD + chunk(completeList(5, "ready")));
    passAnsweringCalls(
        EFFECTIVE_AFTER_MS - 100, silentWatch, connection -> connection.deliver(UNAVAILABLE));
    int calls = dialled.size() - 1;
    assertTrue(calls >= 4 && calls <= 8, calls + " calls by one proxy before the lease expires");
    sendRead();
    assertEquals(1, attemptCount());
    runForMillis(110);
    sendRead();
    sendRead();
    assertEquals(1, attemptCount(), "the node may be draining by now");
    silentWatch.deliver(EMPTY_LINE);
    sendRead();
    assertEquals(1, attemptCount(), "a watch that was silent may have missed an update");
    discovery.watch();
    lastDialled().deliver(RESPONSE_HEAD + chunk(change(5, "ready")));
    sendRead();
    assertEquals(2, attemptCount(), "the new watch renews the lease");
  }

  /**
   * The service is down for longer than the lease lasts. It may have made an update, and been able
   * to deliver it, before it failed.
   */
  @Test
  void failedCallsNeverExtendTheLease() {
    Discovery discovery = discovery();
    connectToEngine(discovery);
    driver.submit(engine -> {});
    dialled.get(0).deliver(RESPONSE_HEAD + chunk(completeList(5, "ready")));
    sendRead();
    runForMillis(1500);
    dialled.get(0).reset();
    passAnsweringCalls(EFFECTIVE_AFTER_MS - 100 - 1500, null, FakeConnection::reset);
    sendRead();
    assertEquals(2, attemptCount(), "until 6 s after the line");
    runForMillis(110);
    sendRead();
    assertEquals(2, attemptCount());
    discovery.watch();
    lastDialled().deliver(RESPONSE_HEAD + chunk(change(5, "ready")));
    sendRead();
    assertEquals(3, attemptCount(), "the new watch renews the lease");
  }

  /**
   * An agent that pushes lists does not answer calls while it is down, and an update that it
   * receives on its return takes effect at once. Discovery must therefore call it again soon.
   */
  @Test
  void pushingAgentIsCalledAgainWithinTheGracePeriod() {
    Config pushed =
        Config.read(
            TestConfig.json().replace("\"ask\"", "\"push\"").getBytes(StandardCharsets.UTF_8));
    Discovery discovery = discovery(pushed, RestoredSnapshots.none());
    connectToEngine(discovery);
    discovery.reportLease();
    dialled.get(0).deliver(RESPONSE_HEAD + chunk(completeList(5, "ready")));
    dialled.get(0).reset();
    sendRead();
    assertEquals(0, attemptCount(), "with no watch every update may be in effect");
    for (int calls = 1; calls < 8; calls++) {
      runForMillis(470);
      assertTrue(
          dialled.size() > calls && dialled.size() < 3 + 3 * calls, dialled.size() + " calls");
    }
    while (lastDialled().closed) {
      runForMillis(10);
    }
    lastDialled().deliver(RESPONSE_HEAD + chunk(change(5, "ready")));
    sendRead();
    assertEquals(1, attemptCount());
  }

  @Test
  void lastOfTwoEntriesOfANodeCounts() {
    Discovery discovery = discovery();
    apply(discovery, list(5, true, entry("ready"), entry("draining")));
    sendRead();
    assertEquals(0, attemptCount(), "draining by its second entry");
  }

  @Test
  void restartedNodeGetsNoRequestOverItsOldConnections() {
    Discovery discovery = discovery();
    String entryElsewhere = entry("ready").replace("127.0.0.1:1", "127.0.0.1:2");
    apply(discovery, list(5, true, entry("ready"), entry("draining")));
    sendRead();
    assertEquals(0, attemptCount());
    apply(discovery, list(6, false, entry("gone"), entryElsewhere));
    sendRead();
    assertEquals(1, attemptCount());
    FakeConnection first = dialled.get(0);
    String restarted = entry("ready").replace("\"born_ms\":0", "\"born_ms\":1");
    apply(discovery, list(7, false, restarted));
    sendRead();
    assertEquals(2, attemptCount());
    assertEquals(1, first.writeCount, "the restarted node has a connection of its own");
  }

  @ParameterizedTest
  @ValueSource(strings = {"draining", "gone"})
  void attemptWaitingForAConnectionToALeavingNodeIsCancelled(String health) {
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
    requestHandler = new RequestHandler(timers, driver, pools, CONFIG, RequestObserver.NONE);
    Discovery discovery = discovery();
    apply(discovery, completeList(5, "ready"));
    FakeConnection client = client();
    client.deliver(READ);
    apply(discovery, change(6, health));
    assertTrue(
        client.written.toString().startsWith("SERVER_ERROR busy"),
        "with no other node the client is answered at once");
    FakeConnection toNode = new FakeConnection();
    connecting.get(0).complete(toNode);
    assertEquals("", toNode.written.toString());
  }

  @Test
  void listOverManyLinesIsReadAsOne() {
    Discovery discovery = discovery();
    discovery.watch();
    dialled.get(0).deliver(RESPONSE_HEAD + chunk(completeList(5, "ready")));
    String indented =
        change(6, "draining")
            .replace("{", "{\n  ")
            .replace(",\"", ",\n  \"")
            .replace("\"site\":\"here\"", "\"site\":\"a } \\\" {\"");
    dialled.get(0).deliver(chunk(indented));
    client().deliver(READ);
    assertEquals(1, dialled.size(), "the node is draining");
    assertFalse(dialled.get(0).closed);
  }

  @Test
  void completeListOfServiceThatRestartedItsCountIsApplied() {
    Discovery discovery = discovery();
    discovery.watch();
    dialled.get(0).deliver(RESPONSE_HEAD + chunk(completeList(41, "ready")));
    discovery.watch();
    dialled.get(1).deliver(RESPONSE_HEAD + chunk(completeList(2, "draining")));
    client().deliver(READ);
    assertEquals(2, dialled.size());
    dialled.get(1).deliver(chunk(change(3, "ready")));
    client().deliver(READ);
    assertEquals(3, dialled.size());
  }

  @Test
  void updateOfFormerServiceIsIgnoredOnceTheNewServiceHasAnswered() {
    Discovery discovery = discovery();
    discovery.watch();
    FakeConnection formerWatch = dialled.get(0);
    formerWatch.deliver(RESPONSE_HEAD + chunk(completeList(5, "ready")));
    discovery.switchService(OTHER_SERVICE);
    assertFalse(formerWatch.closed, "it lasts until the new service delivers a list");
    apply(discovery, completeList(2, "draining"));
    formerWatch.deliver(chunk(change(6, "ready")));
    client().deliver(READ);
    assertEquals(2, dialled.size());
    dialled.get(1).deliver(RESPONSE_HEAD + chunk(completeList(3, "ready")));
    assertTrue(formerWatch.closed);
    client().deliver(READ);
    assertEquals(3, dialled.size());
  }

  @Test
  void watchOfNewServiceStartsWithoutVersion() {
    Discovery discovery = discovery();
    discovery.watch();
    apply(discovery, completeList(5, "ready"));
    discovery.switchService(CONFIG.discovery());
    discovery.switchService(OTHER_SERVICE);
    assertEquals(
        List.of(
            "GET /discovery/hosts?follow=1 HTTP/1.1\r\nHost: 127.0.0.1:1\r\n\r\n",
            "GET /discovery/hosts?follow=1 HTTP/1.1\r\nHost: 127.0.0.1:7\r\n\r\n"),
        dialled.stream().map(connection -> connection.written.toString()).toList());
    assertTrue(dialled.get(0).closed, "the pending watch of the former service is cancelled");
    apply(discovery, change(2, "draining"));
    client().deliver(READ);
    assertEquals(2, dialled.size(), "versions of two services are not compared");
  }
}
