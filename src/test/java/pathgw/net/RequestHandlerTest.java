package pathgw.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import org.junit.jupiter.api.Test;
import pathgw.Decide;
import pathgw.config.Config;
import pathgw.config.TestConfig;

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
  void withoutAnyNodeAnAccessIsDenied() {
    FakeConnection client = client();
    client.gives(READ);
    assertEquals("SERVER_ERROR busy 1500\r\n", client.written.toString());
    assertEquals(0, desk.open());
  }

  @Test
  void nothingIsSentForAClientThatHasGone() {
    nodes("n1", "n2");
    FakeConnection client = client();
    client.gives(READ);
    client.breaks();
    assertTrue(dialled.get(0).closed, "what is out is taken back");
    assertEquals(1, dialled.size());
    assertEquals(0, desk.open());
  }

  @Test
  void aNodeThatBreaksLeavesTheAccessToTheNext() {
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
    agenda.in(Duration.ofMillis(1), () -> {});
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
  void aModuleThatForgetsAnAccessStillLeavesAnAnswer() throws Command.Malformed {
    ArrayDeque<Buffer> answers = new ArrayDeque<>();
    Exchange[] exchange = new Exchange[1];
    exchange[0] = new Exchange(() -> answers.add(exchange[0].answer()));
    nodes("n1");
    life.live(command(READ), exchange[0]);
    desk.tell(module -> module.lapsed(1));
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
    desk = new Desk(agenda, new Decide(uncancelled.settings(), 1));
    desk.reaches(() -> {}, () -> {}, (node, success) -> {}, links::closeIdle);
    Promise<Pipe> comingUp = Promise.promise();
    links = new Links(to -> comingUp.future(), this::dial, agenda, CONFIG, 8);
    life = new Life(agenda, desk, links, CONFIG.answerSlack(), Watcher.NONE);
    nodes("n1");
    FakeConnection gone = client();
    gone.gives(READ);
    gone.ends();
    FakeConnection up = new FakeConnection();
    comingUp.complete(up);
    assertEquals("", up.written.toString());
    assertEquals(0, desk.open());
  }
}
