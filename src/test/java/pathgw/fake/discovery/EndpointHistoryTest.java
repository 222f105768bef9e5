package pathgw.fake.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class EndpointHistoryTest {
  private static final int MORE_THAN_MAX_KEPT_CHANGES = 20;

  private final EndpointHistory history = new EndpointHistory();

  private static EndpointEntry entry(String host, String health) {
    return new EndpointEntry(host, "10.0.0.1:11211", "z0", "std", 0, health, 0);
  }

  @Test
  void endpointThatIsGoneIsRemovedFromTheList() {
    history.apply(entry("a", "ready"));
    history.apply(entry("b", "ready"));
    history.apply(entry("a", EndpointEntry.GONE));
    assertEquals(List.of(entry("b", "ready")), List.copyOf(history.entries()));
    assertEquals(EndpointEntry.GONE, history.health("a"));
  }

  @Test
  void changesBetweenTwoVersionsAreReturnedInOrder() {
    long versionBefore = history.version();
    history.apply(entry("a", "ready"));
    history.apply(entry("a", "draining"));
    history.apply(entry("b", "ready"));
    assertTrue(history.hasChangesSince(versionBefore));
    assertEquals(
        List.of(entry("a", "ready"), entry("a", "draining")),
        history.changes(versionBefore, versionBefore + 2));
  }

  @Test
  void onlyTheLatestChangesAreKept() {
    long versionBefore = history.version();
    for (int i = 0; i < MORE_THAN_MAX_KEPT_CHANGES; i++) {
      history.apply(entry("a", "ready"));
    }
    assertFalse(history.hasChangesSince(versionBefore));
    assertTrue(history.hasChangesSince(history.version() - 1));
  }

  @Test
  void listIsWrittenAsJson() {
    assertEquals("{\"seq\":1,\"whole\":true,\"hosts\":[]}", history.completeJson());
    history.apply(entry("a", "ready"));
    history.apply(entry("b", "ready"));
    String json = history.completeJson();
    assertTrue(json.startsWith("{\"seq\":3,\"whole\":true,\"hosts\":[{\"host\":\"a\","), json);
    assertTrue(
        json.contains("},{\"host\":\"b\",\"dial\":\"10.0.0.1:11211\",\"site\":\"z0\","), json);
    assertTrue(json.endsWith("\"health\":\"ready\",\"share\":1.0,\"born_ms\":0}]}"), json);
  }
}
