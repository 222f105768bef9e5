package pathgw.net;

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
import pathgw.Decide;
import pathgw.Learnt;
import pathgw.Standing;
import pathgw.config.Address;
import pathgw.config.Config;
import pathgw.config.TestConfig;

/** What a start takes up of the proxy before it, and what it must not. */
class KeepsakeTest {
  private static final Learnt DOUBTED = new Learnt(1, 4, 2.9, true);
  private static final Learnt NOTHING = new Learnt(0, 0, 0, false);

  @TempDir Path folder;
  private Path file;

  @BeforeEach
  void aProxyThatDoubtsNodeOneHasStopped() {
    file = folder.resolve("learnt");
    Decide before = module();
    before.recall(1, DOUBTED);
    Keepsake.write(file, before, Map.of(1L, born(7), 2L, born(7)), 1000);
  }

  private static Member born(long ms) {
    return new Member("1", new Address("127.0.0.1", 1), Standing.READY, ms, 0, 0, 0);
  }

  private static Decide module() {
    Decide module =
        new Decide(Config.read(TestConfig.json().getBytes(StandardCharsets.UTF_8)).settings(), 1);
    module.listBegins(true, false);
    module.listed(1, Standing.READY, null, 0, 0, 0);
    module.listed(2, Standing.READY, null, 0, 0, 0);
    module.listEnds();
    return module;
  }

  /** What the next proxy holds of node one. */
  private Learnt next(long bornMs, long unixMs) {
    Decide after = module();
    Keepsake.read(file, unixMs).recall(1, bornMs, after);
    return after.learnt(1);
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
    Decide after = module();
    Keepsake.read(file, 2000).recall(2, 7, after);
    assertEquals(NOTHING, after.learnt(2));
    assertNull(after.learnt(3));
  }

  @Test
  void nothingIsLeftAfterTheFirstNewsFromDiscovery() {
    Keepsake kept = Keepsake.read(file, 2000);
    kept.forgetRest();
    Decide after = module();
    kept.recall(1, 7, after);
    assertEquals(NOTHING, after.learnt(1));
  }
}
