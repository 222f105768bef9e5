package pathgw.snapshot;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pathgw.config.Config;
import pathgw.config.TestConfig;
import pathgw.decision.DecisionEngine;
import pathgw.decision.EndpointState;
import pathgw.decision.NodeSnapshot;

/**
 * Tests which node health a proxy restores from the file of an earlier process, and which it must
 * not.
 */
class SnapshotFileTest {
  private static final long SUSPECTED_NODE = 1;
  private static final long OTHER_NODE = 2;

  /** An id whose highest bit is set; files hold ids as unsigned numbers. */
  private static final long LARGE_NODE = -3;

  private static final long UNLISTED_NODE = 4;
  private static final long STARTED_MILLIS = 7;
  private static final long WRITTEN_MILLIS = 1000;
  private static final long READ_MILLIS = 2000;
  private static final NodeSnapshot SUSPECTED = new NodeSnapshot(1, 4, 2.9, true);
  private static final NodeSnapshot EMPTY = new NodeSnapshot(0, 0, 0, false);

  /**
   * A file of an earlier release (commit 038283c), from before packages and classes were renamed.
   */
  private static final String EARLIER_RELEASE_FILE = "written-by-038283c.json";

  private static final long EARLIER_RELEASE_WRITTEN_MILLIS = 1_700_000_001_000L;
  private static final Map<Long, Long> EARLIER_RELEASE_START_TIMES =
      Map.of(SUSPECTED_NODE, 1_700_000_000_001L, OTHER_NODE, 7L, LARGE_NODE, 0L);
  private static final Map<Long, NodeSnapshot> EARLIER_RELEASE_SNAPSHOTS =
      Map.of(
          SUSPECTED_NODE,
          SUSPECTED,
          OTHER_NODE,
          new NodeSnapshot(9.5, 0.125, -1.0E-4, false),
          LARGE_NODE,
          new NodeSnapshot(0.1, 10, 4.75, true));

  @TempDir Path folder;
  private Path file;

  @BeforeEach
  void writeSnapshotWithOneSuspectedNode() {
    file = folder.resolve("learnt");
    DecisionEngine engine = engine();
    engine.restore(SUSPECTED_NODE, SUSPECTED);
    Map<Long, Long> startTimes = Map.of(SUSPECTED_NODE, STARTED_MILLIS, OTHER_NODE, STARTED_MILLIS);
    SnapshotFile.write(file, engine, startTimes, WRITTEN_MILLIS);
  }

  private static DecisionEngine engine() {
    byte[] config = TestConfig.json().getBytes(StandardCharsets.UTF_8);
    DecisionEngine engine = new DecisionEngine(Config.read(config).settings(), 1);
    engine.beginEndpointUpdate(true, false);
    for (long node : new long[] {SUSPECTED_NODE, OTHER_NODE, LARGE_NODE}) {
      engine.updateEndpoint(node, EndpointState.READY, null, 0, 0, 0);
    }
    engine.endEndpointUpdate();
    return engine;
  }

  /** Restores the file in a new engine, and returns the engine's snapshot of a node. */
  private NodeSnapshot restored(long node, long startedMillis, long unixMillis) {
    DecisionEngine engine = engine();
    SnapshotFile.read(file, unixMillis).restore(node, startedMillis, engine);
    return engine.snapshot(node);
  }

  private NodeSnapshot restoredSuspectedNode() {
    return restored(SUSPECTED_NODE, STARTED_MILLIS, READ_MILLIS);
  }

  private byte[] earlierReleaseFile() throws IOException {
    try (InputStream in = getClass().getResourceAsStream(EARLIER_RELEASE_FILE)) {
      return in.readAllBytes();
    }
  }

  @Test
  void fileOfEarlierReleaseIsReadWithAllItsFields() throws IOException {
    Files.write(file, earlierReleaseFile());
    EARLIER_RELEASE_SNAPSHOTS.forEach(
        (node, snapshot) -> {
          long startedMillis = EARLIER_RELEASE_START_TIMES.get(node);
          assertEquals(
              snapshot, restored(node, startedMillis, EARLIER_RELEASE_WRITTEN_MILLIS), "" + node);
          assertEquals(
              EMPTY,
              restored(node, startedMillis + 1, EARLIER_RELEASE_WRITTEN_MILLIS),
              "started at another time: " + node);
        });
    assertEquals(
        EMPTY,
        restored(
            SUSPECTED_NODE,
            EARLIER_RELEASE_START_TIMES.get(SUSPECTED_NODE),
            EARLIER_RELEASE_WRITTEN_MILLIS - 1),
        "the time of writing is read");
  }

  @Test
  void sameBytesAreWrittenAsByEarlierRelease() throws IOException {
    DecisionEngine engine = engine();
    EARLIER_RELEASE_SNAPSHOTS.forEach(engine::restore);
    SnapshotFile.write(
        file, engine, new TreeMap<>(EARLIER_RELEASE_START_TIMES), EARLIER_RELEASE_WRITTEN_MILLIS);
    assertArrayEquals(earlierReleaseFile(), Files.readAllBytes(file));
  }

  @Test
  void snapshotIsRestoredAtNextStart() {
    assertEquals(SUSPECTED, restoredSuspectedNode());
  }

  @Test
  void snapshotIsNotRestoredForRestartedNode() {
    assertEquals(EMPTY, restored(SUSPECTED_NODE, STARTED_MILLIS + 1, READ_MILLIS));
  }

  @Test
  void staleOrFutureFileIsNotUsed() {
    assertEquals(EMPTY, restored(SUSPECTED_NODE, STARTED_MILLIS, WRITTEN_MILLIS + 60_001));
    assertEquals(EMPTY, restored(SUSPECTED_NODE, STARTED_MILLIS, WRITTEN_MILLIS - 1));
  }

  @Test
  void truncatedMissingOrOtherVersionFileDoesNotPreventStart() throws IOException {
    String complete = Files.readString(file);
    Files.writeString(file, complete.substring(0, complete.length() / 2));
    assertEquals(EMPTY, restoredSuspectedNode());
    Files.writeString(file, complete.replace("\"version\": 1", "\"version\": 2"));
    assertEquals(EMPTY, restoredSuspectedNode());
    Files.delete(file);
    assertEquals(EMPTY, restoredSuspectedNode());
  }

  @Test
  void implausibleEntryIsSkippedAndOthersAreUsed() throws IOException {
    Files.writeString(
        file,
        Files.readString(file)
            .replace(
                "\"id\": \"2\", \"born_ms\": 7, \"wins\": 0.0",
                "\"id\": \"2\", \"born_ms\": 7, \"wins\": 1e9"));
    assertEquals(SUSPECTED, restoredSuspectedNode());
    assertEquals(EMPTY, restored(OTHER_NODE, STARTED_MILLIS, READ_MILLIS));
    assertNull(restored(UNLISTED_NODE, STARTED_MILLIS, READ_MILLIS));
  }

  @Test
  void unclaimedSnapshotsAreDiscardedAfterFirstDiscoveryUpdate() {
    RestoredSnapshots snapshots = SnapshotFile.read(file, READ_MILLIS);
    snapshots.discardUnclaimed();
    DecisionEngine engine = engine();
    snapshots.restore(SUSPECTED_NODE, STARTED_MILLIS, engine);
    assertEquals(EMPTY, engine.snapshot(SUSPECTED_NODE));
  }
}
