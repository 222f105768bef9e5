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
import pathgw.codec.MalformedCommandException;
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
  void requestIdInUseIsRejectedUntilItsRequestEnds() {
    nodes("n1");
    client().gives(READ);
    FakeConnection other = client();
    other.gives(READ);
    assertEquals("CLIENT_ERROR id in use\r\n", other.written.toString());
    dialled.get(0).gives("EN Oa1\r\n");
    assertEquals(1, dialled.size());
    other.gives(READ);
    assertEquals(2, dialled.size(), "the first request has ended");
  }

  @Test
  void requestWithoutAnyNodeIsRejected() {
    FakeConnection client = client();
    client.gives(READ);
    assertEquals("SERVER_ERROR busy 1500\r\n", client.written.toString());
    assertEquals(0, driver.registeredCount());
  }

  @Test
  void attemptIsCancelledWhenItsClientGoes() {
    nodes("n1", "n2");
    FakeConnection client = client();
    client.gives(READ);
    client.breaks();
    assertTrue(dialled.get(0).closed, "the attempt in flight is cancelled");
    assertEquals(1, dialled.size());
    assertEquals(0, driver.registeredCount());
  }

  @Test
  void requestIsRetriedOnAnotherNodeAfterConnectionLoss() {
    nodes("n1", "n2");
    FakeConnection client = client();
    client.gives(READ);
    dialled.get(0).breaks();
    assertEquals(2, dialled.size());
    dialled.get(1).gives("VA 2 Oa1\r\nhi\r\n");
    assertEquals("VA 2 Oa1\r\nhi\r\n", client.written.toString());
  }

  @Test
  void deadlineOfRequestUnreadDuringAPauseIsEarlier() {
    nodes("n1");
    clock.skip(Duration.ofMillis(100));
    timers.schedule(Duration.ofMillis(1), () -> {});
    clock.skip(Duration.ofMillis(600));
    FakeConnection client = client();
    client.gives(READ);
    assertEquals("", client.written.toString(), "an endpoint update may lie unread behind it");
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
        "read after the late timers, but received before them");
    later.gives(READ.replace("Oa1", "Oa3"));
    assertEquals(1, dialled.size(), "a command that comes after the pause is new");
  }

  @Test
  void requestForgottenByDecisionEngineIsStillFailedAfterItsDeadline()
      throws MalformedCommandException {
    ArrayDeque<Buffer> responses = new ArrayDeque<>();
    PendingResponse[] response = new PendingResponse[1];
    response[0] = new PendingResponse(() -> responses.add(response[0].bytes()));
    nodes("n1");
    requestHandler.handle(command(READ), response[0]);
    driver.submit(engine -> engine.requestAbandoned(1));
    after(480 + 25);
    assertEquals(
        List.of("SERVER_ERROR failed\r\n"), responses.stream().map(Buffer::toString).toList());
  }

  /** Also where the settings forbid cancelling: nothing has been sent yet. */
  @Test
  void attemptWaitingForItsConnectionIsNotSentAfterItsClientGoes() {
    Config configWithoutCancel =
        Config.read(
            TestConfig.json()
                .replace("\"cancel\": true", "\"cancel\": false")
                .getBytes(StandardCharsets.UTF_8));
    driver = new DecisionDriver(timers, new DecisionEngine(configWithoutCancel.settings(), 1));
    driver.setProxyActions(new TestProxyActions(pools));
    Promise<Connection> connecting = Promise.promise();
    pools = new UpstreamPools(to -> connecting.future(), this::dial, timers, CONFIG, 8);
    requestHandler =
        new RequestHandler(timers, driver, pools, CONFIG.answerSlack(), RequestObserver.NONE);
    nodes("n1");
    FakeConnection closedClient = client();
    closedClient.gives(READ);
    closedClient.ends();
    FakeConnection connection = new FakeConnection();
    connecting.complete(connection);
    assertEquals("", connection.written.toString());
    assertEquals(0, driver.registeredCount());
  }
}
