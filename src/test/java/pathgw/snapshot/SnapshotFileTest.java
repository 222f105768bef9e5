package pathgw.snapshot;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pathgw.config.Config;
import pathgw.config.TestConfig;
import pathgw.decision.DecisionEngine;
import pathgw.decision.EndpointState;
import pathgw.decision.NodeSnapshot;

/** What a start takes up of the proxy before it, and what it must not. */
class SnapshotFileTest {
  private static final NodeSnapshot DOUBTED = new NodeSnapshot(1, 4, 2.9, true);
  private static final NodeSnapshot NOTHING = new NodeSnapshot(0, 0, 0, false);

  @TempDir Path folder;
  private Path file;

  @BeforeEach
  void aProxyThatDoubtsNodeOneHasStopped() {
    file = folder.resolve("learnt");
    DecisionEngine before = engine();
    before.restore(1, DOUBTED);
    SnapshotFile.write(file, before, Map.of(1L, 7L, 2L, 7L), 1000);
  }

  private static DecisionEngine engine() {
    DecisionEngine engine =
        new DecisionEngine(
            Config.read(TestConfig.json().getBytes(StandardCharsets.UTF_8)).settings(), 1);
    engine.beginEndpointUpdate(true, false);
    engine.updateEndpoint(1, EndpointState.READY, null, 0, 0, 0);
    engine.updateEndpoint(2, EndpointState.READY, null, 0, 0, 0);
    engine.endEndpointUpdate();
    return engine;
  }

  /** What the next proxy holds of node one. */
  private NodeSnapshot next(long bornMs, long unixMs) {
    DecisionEngine after = engine();
    SnapshotFile.read(file, unixMs).recall(1, bornMs, after);
    return after.snapshot(1);
  }

  @Test
  void theNextStartGoesOnFromIt() {
    assertEquals(DOUBTED, next(7, 2000));
  }

  @Test
  void aNodeStartedAnewIsMetAfresh() {
    assertEquals(NOTHING, next(8, 2000));
  }

  @Test
  void whatIsStaleOrOfTheFutureIsNotUsed() {
    assertEquals(NOTHING, next(7, 61_001));
    assertEquals(NOTHING, next(7, 999));
  }

  @Test
  void cutOffOfAnotherVersionOrAbsentItStopsNoStart() throws IOException {
    String whole = Files.readString(file);
    Files.writeString(file, whole.substring(0, whole.length() / 2));
    assertEquals(NOTHING, next(7, 2000));
    Files.writeString(file, whole.replace("\"version\": 1", "\"version\": 2"));
    assertEquals(NOTHING, next(7, 2000));
    Files.delete(file);
    assertEquals(NOTHING, next(7, 2000));
  }

  @Test
  void anEntryThatCannotHaveComeFromHereIsLeftAndTheRestUsed() throws IOException {
    Files.writeString(
        file,
        Files.readString(file)
            .replace(
                "\"id\": \"2\", \"born_ms\": 7, \"wins\": 0.0",
                "\"id\": \"2\", \"born_ms\": 7, \"wins\": 1e9"));
    assertEquals(DOUBTED, next(7, 2000));
    DecisionEngine after = engine();
    SnapshotFile.read(file, 2000).recall(2, 7, after);
    assertEquals(NOTHING, after.snapshot(2));
    assertNull(after.snapshot(3));
  }

  @Test
  void nothingIsLeftAfterTheFirstNewsFromDiscovery() {
    SnapshotFile kept = SnapshotFile.read(file, 2000);
    kept.forgetRest();
    DecisionEngine after = engine();
    kept.recall(1, 7, after);
    assertEquals(NOTHING, after.snapshot(1));
  }
}
