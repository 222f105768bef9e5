package pathgw.net;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import pathgw.Decide;
import pathgw.Standing;
import pathgw.config.Address;
import pathgw.config.Config;
import pathgw.config.TestConfig;

/**
 * The way of a request from its client to the nodes, with connections and a clock that the test
 * holds.
 */
abstract class NetworkFixture {
  protected static final Config CONFIG =
      Config.read(TestConfig.json().getBytes(StandardCharsets.UTF_8));
  protected static final String READ = "mg k1 v Oa1 Pc=read,t=one,d=480\r\n";
  protected static final Address ANYWHERE = new Address("127.0.0.1", 1);

  protected final List<FakeConnection> dialled = new ArrayList<>();
  protected long nanos;
  protected final List<Timer> timers = new ArrayList<>();
  protected Agenda agenda;
  protected Desk desk;
  protected Links links;
  protected Life life;
  protected Client client;

  @BeforeEach
  void start() {
    agenda =
        new Agenda(
            () -> nanos,
            1_000_000,
            (span, what) -> {
              timers.add(new Timer(nanos + span.toNanos(), what));
              return () -> timers.removeIf(t -> t.what == what);
            });
    desk = new Desk(agenda, new Decide(CONFIG.settings(), 1));
    links = new Links(this::dial, this::dial, agenda, CONFIG, 8);
    desk.reaches(() -> {}, () -> {}, (node, success) -> {}, links::closeIdle);
    life = new Life(agenda, desk, links, CONFIG.answerSlack(), Watcher.NONE);
  }

  protected Future<Pipe> dial(Address address) {
    FakeConnection socket = new FakeConnection();
    dialled.add(socket);
    return Future.succeededFuture(socket);
  }

  protected void nodes(String... hosts) {
    List<Member> members =
        Arrays.stream(hosts).map(h -> new Member(h, ANYWHERE, Standing.READY, 0, 0, 0, 0)).toList();
    members.forEach(m -> links.listed(m.id(), m));
    desk.tell(
        module -> {
          module.listBegins(true, false);
          members.forEach(
              m -> module.listed(m.id(), m.standing(), null, m.kind(), m.zone(), m.cell()));
          module.listEnds();
        });
  }

  protected FakeConnection client() {
    return clientOn(new FakeConnection());
  }

  protected FakeConnection clientOn(FakeConnection socket) {
    client =
        new Client(
            socket,
            CONFIG,
            agenda,
            life,
            new RateLimitedLog(System.getLogger("test"), agenda),
            closed -> {});
    return socket;
  }

  protected static Command command(String line) throws Command.Malformed {
    return Command.read(Buffer.buffer(line.trim()), CONFIG);
  }

  protected record Timer(long at, Runnable what) {}

  protected void pass(long ms) {
    for (long i = 0; i < ms; i += 10) {
      after(10);
    }
  }

  protected void after(long ms) {
    nanos += Duration.ofMillis(ms).toNanos();
    for (Timer t : List.copyOf(timers)) {
      if (t.at <= nanos && timers.remove(t)) {
        t.what.run();
      }
    }
  }

  /** Sends a read on a connection of its own. */
  protected void asks() {
    client().gives(READ.replace("a1", "b" + dialled.size() + nanos));
  }

  /** How many connections have carried a read. */
  protected long handOffs() {
    return dialled.stream().filter(s -> s.written.toString().startsWith("mg")).count();
  }
}
