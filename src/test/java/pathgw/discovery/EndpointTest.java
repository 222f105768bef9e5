package pathgw.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import pathgw.codec.MalformedCommandException;
import pathgw.codec.MetaCommand;
import pathgw.config.Address;
import pathgw.config.Json;
import pathgw.decision.EndpointState;
import pathgw.fixture.NetworkFixture;

/** Tests the ids of the entries of the endpoint list, and how entries are parsed. */
class EndpointTest extends NetworkFixture {
  @Test
  void idsAndKeysAreHashedAlikeAtEveryProxy() throws MalformedCommandException {
    assertEquals(command("mg k1 v Oa Pc=read").keyHash(), command("ms k1 0 Ob Pc=write").keyHash());
    Endpoint here = new Endpoint("s-1", TEST_ADDRESS, EndpointState.READY, 0, 0, 0, 0);
    Endpoint elsewhere =
        new Endpoint("s-1", new Address("127.9.9.9", 7), EndpointState.DRAINING, 5, 1, 2, 3);
    assertEquals(here.id(), elsewhere.id());
    assertNotEquals(here.id(), MetaCommand.hash("s-2"));
  }

  @Test
  void entryIsParsedByFieldNames() {
    String entry =
        "{\"host\":\"s\",\"dial\":\"10.0.0.1:5\",\"site\":\"here\",\"class\":\"origin\","
            + "\"block\":3,\"health\":\"draining\",\"share\":1.0,\"born_ms\":7}";
    Json list = Json.read(("{\"hosts\":[" + entry + "]}").getBytes(StandardCharsets.UTF_8), "list");
    assertEquals(
        List.of(new Endpoint("s", new Address("10.0.0.1", 5), EndpointState.DRAINING, 7, 1, 0, 3)),
        new EndpointParser(CONFIG).parse(list));
    assertEquals(Duration.ofSeconds(-999), timers.sinceStart(1000));
  }
}
