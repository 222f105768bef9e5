package pathgw.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import org.junit.jupiter.api.Test;
import pathgw.codec.MetaCommand;
import pathgw.config.Config;
import pathgw.config.TestConfig;
import pathgw.decision.DecisionEngine;
import pathgw.driver.DecisionDriver;
import pathgw.fixture.NetworkFixture;
import pathgw.fixture.TestProxyActions;
import pathgw.observability.RequestObserver;
import pathgw.transport.Connection;
import pathgw.transport.FakeConnection;
import pathgw.upstream.UpstreamPools;

/** One request from its arrival to its one response. */
class RequestHandlerTest extends NetworkFixture {
  @Test
  void anIdThatIsStillOpenIsNotTakenTwice() {
    nodes("n1");
    client().gives(READ);
    FakeConnection other = client();
    other.gives(READ);
    assertEquals("CLIENT_ERROR id in use\r\n", other.written.toString());
    dialled.get(0).gives("EN Oa1\r\n");
    assertEquals(1, dialled.size());
    other.gives(READ);
    assertEquals(2, dialled.size(), "it has ended");
  }

  @Test
  void withoutAnyNodeARequestIsDenied() {
    FakeConnection client = client();
    client.gives(READ);
    assertEquals("SERVER_ERROR busy 1500\r\n", client.written.toString());
    assertEquals(0, driver.open());
  }

  @Test
  void nothingIsSentForAClientThatHasGone() {
    nodes("n1", "n2");
    FakeConnection client = client();
    client.gives(READ);
    client.breaks();
    assertTrue(dialled.get(0).closed, "what is out is taken back");
    assertEquals(1, dialled.size());
    assertEquals(0, driver.open());
  }

  @Test
  void aNodeThatBreaksLeavesTheRequestToTheNext() {
    nodes("n1", "n2");
    FakeConnection client = client();
    client.gives(READ);
    dialled.get(0).breaks();
    assertEquals(2, dialled.size());
    dialled.get(1).gives("VA 2 Oa1\r\nhi\r\n");
    assertEquals("VA 2 Oa1\r\nhi\r\n", client.written.toString());
  }

  @Test
  void whatLayUnreadThroughAPauseIsDueEarlier() {
    nodes("n1");
    nanos = Duration.ofMillis(100).toNanos();
    timers.schedule(Duration.ofMillis(1), () -> {});
    nanos = Duration.ofMillis(700).toNanos();
    FakeConnection client = client();
    client.gives(READ);
    assertEquals("", client.written.toString(), "news may lie unread behind it");
    after(0);
    FakeConnection later = client();
    later.gives(READ.replace("Oa1", "Oa2"));
    after(1);
    after(1);
    assertEquals(
        "SERVER_ERROR busy 1500\r\n", client.written.toString(), "its 480 ms have passed unread");
    assertEquals(
        "SERVER_ERROR busy 1500\r\n",
        later.written.toString(),
        "read after the late timers, it had come before them all the same");
    later.gives(READ.replace("Oa1", "Oa3"));
    assertEquals(1, dialled.size(), "what comes once all has been read is new");
  }

  @Test
  void aModuleThatForgetsARequestStillLeavesAnAnswer() throws MetaCommand.Malformed {
    ArrayDeque<Buffer> answers = new ArrayDeque<>();
    PendingResponse[] response = new PendingResponse[1];
    response[0] = new PendingResponse(() -> answers.add(response[0].answer()));
    nodes("n1");
    requestHandler.handle(command(READ), response[0]);
    driver.submit(engine -> engine.requestAbandoned(1));
    after(480 + 25);
    assertEquals(
        List.of("SERVER_ERROR failed\r\n"), answers.stream().map(Buffer::toString).toList());
  }

  /** Also where the settings allow no cancel: what has not begun is no work that goes on. */
  @Test
  void whatWaitsForAConnectionLeavesWithItsClient() {
    Config uncancelled =
        Config.read(
            TestConfig.json()
                .replace("\"cancel\": true", "\"cancel\": false")
                .getBytes(StandardCharsets.UTF_8));
    driver = new DecisionDriver(timers, new DecisionEngine(uncancelled.settings(), 1));
    driver.setProxyActions(new TestProxyActions(pools));
    Promise<Connection> connecting = Promise.promise();
    pools = new UpstreamPools(to -> connecting.future(), this::dial, timers, CONFIG, 8);
    requestHandler =
        new RequestHandler(timers, driver, pools, CONFIG.answerSlack(), RequestObserver.NONE);
    nodes("n1");
    FakeConnection gone = client();
    gone.gives(READ);
    gone.ends();
    FakeConnection up = new FakeConnection();
    connecting.complete(up);
    assertEquals("", up.written.toString());
    assertEquals(0, driver.open());
  }
}
