package pathgw.fake;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

/**
 * The origin: has every key, takes far less than all requests, and goes down for a while when
 * overdriven.
 */
public final class FakeOrigin extends FakeServer {
  /**
   * What it bears.
   *
   * @param fallMultiple over this many times its capacity for {@code fallFor} it goes down; 0 for
   *     never
   * @param memory of marked requests
   */
  public record Figures(
      int slots,
      Duration service,
      int queue,
      int connections,
      Duration idle,
      double fallMultiple,
      Duration fallFor,
      Duration downFor,
      Duration memory) {}

  /** What follows from an answer at the nodes. */
  public interface Copies {
    /** The origin has answered a read that had missed. */
    void fetched(Request request, int version);

    /** A write has made all copies of a key old. */
    void outdated(String key);
  }

  private final Figures figures;
  private final Copies nodes;
  private final DedupMemory memory;
  private final WorkerQueue workers;
  private final OverloadWindow pressure;
  private final Map<String, Integer> versions = new TreeMap<>();
  private Duration downUntil = Duration.ZERO;
  private long receipts;
  private long fetches;

  public FakeOrigin(
      String name,
      Clock clock,
      Random chance,
      BackendObserver observer,
      FaultInjection faults,
      Figures figures,
      Copies nodes) {
    super(name, clock, chance, observer, faults, figures.connections(), figures.idle());
    this.figures = figures;
    this.nodes = nodes;
    memory = new DedupMemory(figures.memory());
    workers =
        new WorkerQueue(
            clock,
            chance,
            figures.slots(),
            figures.service(),
            figures.queue(),
            () -> faults.slower);
    pressure = new OverloadWindow(figures.fallFor(), 3, 4);
  }

  public long fetches() {
    return fetches;
  }

  public int version(String key) {
    return versions.getOrDefault(key, 0);
  }

  private boolean down() {
    return clock.now().compareTo(downUntil) < 0;
  }

  private void arrived(Request request, String from) {
    fetches++;
    pressure.arrived(clock.now(), from, request.id());
    double capacity = figures.slots() * 1e9 / figures.service().toNanos();
    if (figures.fallMultiple() > 0 && !down() && pressure.over(figures.fallMultiple() * capacity)) {
      observer.collapsed(pressure.work());
      downUntil = clock.now().plus(figures.downFor());
    }
  }

  /**
   * For a node that fetches by itself.
   *
   * @param version hears the version, or -1 for a failure
   */
  void read(Request request, String from, IntConsumer version) {
    arrived(request, from);
    if (down() || workers.full()) {
      clock.in(Duration.ofMillis(2), () -> version.accept(-1));
    } else {
      workers.work(() -> version.accept(version(request.key())));
    }
  }

  /**
   * For a node that passes writes on.
   *
   * @param receipt hears the receipt, or null for a failure
   */
  void write(Request request, Consumer<String> receipt) {
    if (down() || workers.full()) {
      clock.in(Duration.ofMillis(2), () -> receipt.accept(null));
    } else {
      workers.work(() -> receipt.accept(written(request)));
    }
  }

  private String written(Request request) {
    versions.merge(request.key(), 1, Integer::sum);
    nodes.outdated(request.key());
    return Long.toString(++receipts, 36) + "-" + name;
  }

  @Override
  RequestReader reader(Conversation talk) {
    return RequestReader.http(talk::take, talk::unreadable);
  }

  @Override
  boolean refuses() {
    return down();
  }

  @Override
  void serve(Request request, Reply reply) {
    if (!request.write()) {
      arrived(request, reply.from());
    }
    if (down() || workers.full()) {
      turnAway(request, reply);
      return;
    }
    String mark = request.label('k');
    boolean again =
        request.write()
            && !mark.isEmpty()
            && memory.repeats(mark, clock.now(), receipt -> receipt(request, reply, receipt));
    observer.ran(name, request, again);
    if (again) {
      return;
    }
    workers.work(
        () -> {
          if (faults.fails > 0 && chance.nextDouble() < faults.fails) {
            reply.give(failed(request));
          } else if (request.write()) {
            String receipt = written(request);
            memory.done(request.label('k'), receipt);
            receipt(request, reply, receipt);
          } else {
            int version = version(request.key());
            nodes.fetched(request, version);
            String value = "v" + version + ":" + request.key() + ":" + request.id() + ":" + name;
            observer.made(name, request, value);
            answer(request, reply, value);
          }
        });
  }

  /** Some answers have no length: they end with their connection, or are reset on the way. */
  private void answer(Request request, Reply reply, String body) {
    if (chance.nextInt(16) == 0) {
      reply.giveLast(
          Buffer.buffer("HTTP/1.1 200 OK\r\nX-Txn: " + request.id() + "\r\n\r\n" + body));
    } else {
      reply.give(http(request, body));
    }
  }

  private void receipt(Request request, Reply reply, String receipt) {
    observer.made(name, request, receipt);
    answer(request, reply, receipt);
  }

  private Buffer http(Request request, String body) {
    String ahead = chance.nextInt(16) == 0 ? "HTTP/1.1 102 Processing\r\n\r\n" : "";
    return Buffer.buffer(
        ahead
            + "HTTP/1.1 200 OK\r\nX-Txn: "
            + request.id()
            + "\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
  }

  @Override
  Buffer turnedAway(Request request) {
    return Buffer.buffer("HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
  }

  @Override
  Buffer failed(Request request) {
    return Buffer.buffer("HTTP/1.1 500 Failed\r\nContent-Length: 1\r\n\r\nx");
  }

  @Override
  Buffer spoilt(Buffer answer, int form) {
    String text = answer.toString();
    return Buffer.buffer(
        switch (form) {
          case 0 -> "\u0007\u0001~~~ noise\r\n";
          case 1 -> text.replaceFirst("X-Txn: [0-9a-f]", "X-Txn: z").replaceFirst(" 50", " 999 50");
          case 2 -> text.replaceFirst("Content-Length: ", "Content-Length: 1\r\nContent-Length: ");
          case 3 -> text.substring(0, text.length() / 2);
          case 4 -> text.replaceFirst("Content-Length: \\d+", "Content-Length: 3000000000");
          default -> "y".repeat(2000);
        });
  }
}
