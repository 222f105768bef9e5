package pathgw.fake;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;

/** A cache node: keeps copies, warms up, falls over when cold and overdriven, drains. */
public final class FakeCacheNode extends FakeServer {
  /**
   * What it bears.
   *
   * @param service what one request takes on a warm node
   * @param queue how many may wait
   * @param idle how long a connection may stand idle
   * @param coldFrom the share of its capacity that it begins with
   * @param tipMultiple a cold node that gets over this many times its capacity for {@code fallFor}
   *     falls over
   * @param keeps how many copies
   * @param origin where it fetches what it lacks; null where it only stores
   */
  public record Figures(
      int slots,
      Duration service,
      int queue,
      int connections,
      Duration idle,
      double coldFrom,
      Duration coldFor,
      double tipMultiple,
      Duration fallFor,
      int keeps,
      FakeOrigin origin) {}

  private final Figures figures;
  private final Duration coldSince;
  private final DedupMemory memory;
  private final WorkerQueue workers;
  private final OverloadWindow pressure;
  private final Runnable fallsOver;
  private final Map<String, Integer> copies;
  private boolean draining;

  /**
   * @param coldSince when it began empty; null for one that has been warm for long
   * @param memory of marked requests, shared with its group
   * @param fallsOver ends this node for good
   */
  public FakeCacheNode(
      String name,
      Clock clock,
      Random chance,
      BackendObserver observer,
      FaultInjection faults,
      Figures figures,
      Duration coldSince,
      DedupMemory memory,
      Runnable fallsOver) {
    super(name, clock, chance, observer, faults, figures.connections(), figures.idle());
    this.figures = figures;
    this.coldSince = coldSince;
    this.memory = memory;
    this.fallsOver = fallsOver;
    workers =
        new WorkerQueue(
            clock,
            chance,
            figures.slots(),
            figures.service(),
            figures.queue(),
            () -> faults.slower / warmth());
    pressure = new OverloadWindow(figures.fallFor(), 2, 2);
    copies =
        new LinkedHashMap<>(64, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
            return size() > figures.keeps();
          }
        };
  }

  public boolean cold() {
    return coldSince != null && clock.now().minus(coldSince).compareTo(figures.coldFor()) < 0;
  }

  private double warmth() {
    return !cold()
        ? 1
        : figures.coldFrom()
            + (1 - figures.coldFrom())
                * clock.now().minus(coldSince).toNanos()
                / figures.coldFor().toNanos();
  }

  /** Finishes what it has and wants nothing new. */
  public void drain() {
    draining = true;
  }

  public void flush() {
    copies.clear();
  }

  public void store(String key, int version) {
    copies.put(key, version);
  }

  public void drop(String key) {
    copies.remove(key);
  }

  @Override
  RequestReader reader(Conversation talk) {
    return RequestReader.meta(talk::take, talk::unreadable);
  }

  @Override
  boolean refuses() {
    return draining;
  }

  @Override
  void serve(Request request, Reply reply) {
    if (cold()) {
      pressure.arrived(clock.now(), reply.from(), request.id());
      double capacity = figures.slots() * 1e9 / figures.service().toNanos() * warmth();
      observer.pressed(pressure.part(figures.tipMultiple() * capacity));
      if (pressure.over(figures.tipMultiple() * capacity)) {
        observer.pushedOver(name, pressure.work());
        fallsOver.run();
        return;
      }
    }
    if (workers.full()) {
      turnAway(request, reply);
      return;
    }
    // A marked request is known from here on, and its repeats wait for its receipt.
    String mark = request.label('k');
    boolean again =
        request.write()
            && !mark.isEmpty()
            && memory.repeats(mark, clock.now(), receipt -> receipt(request, reply, receipt));
    observer.ran(name, request, again);
    if (!again) {
      workers.work(() -> end(request, reply));
    }
  }

  private void end(Request request, Reply reply) {
    Integer version = copies.get(request.key());
    if (faults.fails > 0 && chance.nextDouble() < faults.fails) {
      reply.give(failed(request));
    } else if (request.write()) {
      figures
          .origin()
          .write(
              request,
              result -> {
                if (result != null) {
                  memory.done(request.label('k'), result);
                  receipt(request, reply, result);
                } else {
                  reply.give(failed(request));
                }
              });
    } else if (version != null) {
      value(request, reply, version, true);
    } else if (figures.origin() == null) {
      observer.missed(name, request, cold());
      reply.give(Buffer.buffer("EN O" + request.id() + "\r\n"));
    } else {
      observer.missed(name, request, cold());
      figures
          .origin()
          .read(
              request,
              reply.from(),
              fetched -> {
                if (fetched >= 0) {
                  store(request.key(), fetched);
                  value(request, reply, fetched, false);
                } else {
                  reply.give(failed(request));
                }
              });
    }
  }

  private void receipt(Request request, Reply reply, String receipt) {
    observer.made(name, request, receipt);
    reply.give(Buffer.buffer("HD O" + request.id() + " c" + receipt + "\r\n"));
  }

  private void value(Request request, Reply reply, int version, boolean hit) {
    String value = "v" + version + ":" + request.key() + ":" + request.id() + ":" + name;
    observer.made(name, request, value);
    String flag = figures.origin() == null ? "" : hit ? " h1" : " h0";
    reply.give(
        Buffer.buffer(
            "VA " + value.length() + " O" + request.id() + flag + "\r\n" + value + "\r\n"));
  }

  @Override
  Buffer turnedAway(Request request) {
    return Buffer.buffer("SERVER_ERROR busy\r\n");
  }

  @Override
  Buffer failed(Request request) {
    return Buffer.buffer("SERVER_ERROR failed\r\n");
  }

  @Override
  Buffer spoilt(Buffer answer, int form) {
    String text = answer.toString();
    return Buffer.buffer(
        switch (form) {
          case 0 -> "\u0007\u0001~~~ noise\r\n";
          case 1 -> text.replaceFirst(" O[0-9a-f]", " Oz");
          case 2 -> text.replaceFirst("VA \\d+", "VA 3").replaceFirst("^(EN|HD|SERV)", "V$1");
          case 3 -> text.substring(0, text.length() / 2);
          case 4 -> "VA 3000000000 O0\r\n" + "x".repeat(300);
          default -> "y".repeat(2000);
        });
  }
}
