package pathgw.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import pathgw.Standing;
import pathgw.config.Address;
import pathgw.config.Json;

/** Entries of the endpoint list. */
class EndpointTest extends NetworkFixture {
  @Test
  void nodesAndKeysHashAlikeEverywhere() throws Command.Malformed {
    assertEquals(command("mg k1 v Oa Pc=read").keyHash(), command("ms k1 0 Ob Pc=write").keyHash());
    Member here = new Member("s-1", ANYWHERE, Standing.READY, 0, 0, 0, 0);
    Member there = new Member("s-1", new Address("127.9.9.9", 7), Standing.DRAINING, 5, 1, 2, 3);
    assertEquals(here.id(), there.id());
    assertNotEquals(here.id(), Command.hash("s-2"));
  }

  @Test
  void entriesOfTheListAreReadByName() {
    String entry =
        "{\"host\":\"s\",\"dial\":\"10.0.0.1:5\",\"site\":\"here\",\"class\":\"origin\","
            + "\"block\":3,\"health\":\"draining\",\"share\":1.0,\"born_ms\":7}";
    Json list = Json.read(("{\"hosts\":[" + entry + "]}").getBytes(StandardCharsets.UTF_8), "list");
    assertEquals(
        new Member("s", new Address("10.0.0.1", 5), Standing.DRAINING, 7, 1, 0, 3),
        Member.read(list, "hosts.0", CONFIG));
    assertEquals(Duration.ofSeconds(-999), agenda.since(1000));
  }
}
