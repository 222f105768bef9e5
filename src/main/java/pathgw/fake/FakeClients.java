package pathgw.fake;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Random;

/**
 * The clients of all proxies and the front that deals out their connections: it goes on sending to
 * a dead proxy for some seconds. Requests come at random times that wait for no answer.
 */
public final class FakeClients {
  /** How far a request may be repeated. */
  public enum Effect {
    IDEMPOTENT,
    IDEMPOTENCY_KEYED,
    AT_MOST_ONCE
  }

  /**
   * One class of requests.
   *
   * @param repeats whether clients try an idempotency-keyed request again after any failure
   * @param part of all requests
   */
  public record RequestClass(
      String name,
      Effect effect,
      boolean repeats,
      Duration deadline,
      Duration patience,
      double part) {}

  /** What clients do just now. */
  public static final class Habits {
    /** Requests a second. */
    public double rate;

    /** The share that asks for one single key. */
    public double hot;

    /** How many times more the first tenant asks than it did. */
    public double greed = 1;

    /** The share that leaves before it has its answer. */
    public double leaves;

    /** The share that asks once and keeps its connection for good. */
    public double stay;

    /** Clients a second that send what is no command. */
    public double rude;
  }

  private static final int MOST_KEPT = 24;
  private static final int MOST_TRIES = 3;
  private static final Duration GIVES_UP = Duration.ofMillis(400);
  private static final String VALUE = "some bytes of a booking";

  private final Clock clock;
  private final Random chance;
  private final ClientConnector front;
  private final ClientObserver observer;
  private final List<RequestClass> requestClasses;
  private final List<String> tenants;
  private final double[] keys;
  private final Habits habits = new Habits();
  private final List<Deque<Connection>> kept = new ArrayList<>();
  private final boolean[] up;
  private final Duration[] noticed;
  private final double[] parts;
  private int next;
  private boolean stopped;

  /**
   * @param uneven how unlike the proxies' traffic is: exponent of Zipf's law, 0 for turn by turn
   * @param keys how many, asked for by Zipf's law with exponent {@code skew}
   */
  public FakeClients(
      Clock clock,
      Random chance,
      ClientConnector front,
      ClientObserver observer,
      int proxies,
      double uneven,
      List<RequestClass> requestClasses,
      List<String> tenants,
      int keys,
      double skew) {
    this.clock = clock;
    this.chance = chance;
    this.front = front;
    this.observer = observer;
    this.requestClasses = requestClasses;
    this.tenants = tenants;
    this.keys = new double[keys];
    double sum = 0;
    for (int i = 0; i < keys; i++) {
      sum += 1 / Math.sqrt(Math.pow(i + 1, 2 * skew));
      this.keys[i] = sum;
    }
    parts = uneven == 0 ? null : new double[proxies];
    double all = 0;
    for (int i = 0; parts != null && i < proxies; i++) {
      all += 1 / Math.sqrt(Math.pow(i + 1, 2 * uneven));
      parts[i] = all;
    }
    up = new boolean[proxies];
    noticed = new Duration[proxies];
    for (int i = 0; i < proxies; i++) {
      kept.add(new ArrayDeque<>());
    }
  }

  public Habits habits() {
    return habits;
  }

  public void start() {
    Arrays.fill(up, true);
    arrive();
    rude();
  }

  public void stop() {
    stopped = true;
    kept.forEach(pool -> List.copyOf(pool).forEach(c -> c.side.close()));
  }

  /** A proxy answers again: the front deals to it from now on. */
  public void serves(int proxy) {
    up[proxy] = true;
    noticed[proxy] = null;
  }

  /** A proxy was told to stop: after a moment the front deals to it no more. */
  public void stops(int proxy) {
    clock.in(Duration.ofMillis(200 + chance.nextInt(200)), () -> up[proxy] = false);
  }

  private Duration pause(double perSecond) {
    return Duration.ofNanos((long) (-Math.log(1 - chance.nextDouble()) / perSecond * 1e9));
  }

  private void arrive() {
    clock.in(
        pause(Math.max(0.1, habits.rate)),
        () -> {
          if (!stopped) {
            double part = chance.nextDouble();
            int o = 0;
            while (o < requestClasses.size() - 1 && part >= requestClasses.get(o).part()) {
              part -= requestClasses.get(o++).part();
            }
            RequestClass requestClass = requestClasses.get(o);
            double of = tenants.size() - 1 + habits.greed;
            double whose = chance.nextDouble() * of - habits.greed;
            int tenant = whose < 0 ? 0 : Math.min(tenants.size() - 1, 1 + (int) whose);
            String mark = requestClass.effect == Effect.IDEMPOTENCY_KEYED ? hex() : "";
            attempt(requestClass, tenant, key(), mark, clock.now(), 0);
            arrive();
          }
        });
  }

  private String key() {
    if (chance.nextDouble() < habits.hot) {
      return "khot";
    }
    double at = chance.nextDouble() * keys[keys.length - 1];
    int found = Arrays.binarySearch(keys, at);
    return "k" + (found < 0 ? -found - 1 : found);
  }

  private String hex() {
    return String.format("%016x", chance.nextLong());
  }

  /** The front's turn; a proxy that it knows to be dead is passed over. */
  private int deal() {
    if (parts != null) {
      int found = Arrays.binarySearch(parts, chance.nextDouble() * parts[parts.length - 1]);
      next = found < 0 ? -found - 1 : found;
      if (up[next]) {
        return next;
      }
    }
    for (int i = 0; i < up.length; i++) {
      next = (next + 1) % up.length;
      if (up[next]) {
        return next;
      }
    }
    return next = (next + 1) % up.length;
  }

  private void refused(int proxy) {
    if (noticed[proxy] == null && up[proxy]) {
      noticed[proxy] = clock.now().plusMillis(1500 + chance.nextInt(2000));
      Duration notices = noticed[proxy];
      clock.in(
          notices.minus(clock.now()),
          () -> {
            if (notices.equals(noticed[proxy])) {
              up[proxy] = false;
            }
          });
    }
  }

  private void attempt(
      RequestClass requestClass, int tenant, String key, String mark, Duration first, int tries) {
    Duration left = first.plus(requestClass.deadline).minus(clock.now());
    Duration wait = left.compareTo(requestClass.patience) < 0 ? left : requestClass.patience;
    if (stopped || tries >= MOST_TRIES || wait.toMillis() < 20) {
      return;
    }
    int proxy = deal();
    Connection free = kept.get(proxy).pollLast();
    if (free != null) {
      free.ask(requestClass, tenant, key, mark, first, wait, tries);
      return;
    }
    front.open(
        proxy,
        side -> {
          Connection c = new Connection(side, proxy);
          c.ask(requestClass, tenant, key, mark, first, wait, tries);
          return c;
        },
        () -> {
          refused(proxy);
          clock.in(
              Duration.ofMillis(50 + chance.nextInt(200)),
              () -> attempt(requestClass, tenant, key, mark, first, tries + 1));
        });
  }

  private void again(ClientAttempt ask, Duration pause) {
    clock.in(
        pause.plusMillis(1 + chance.nextInt(100)),
        () ->
            attempt(
                ask.requestClass(),
                ask.tenant(),
                ask.key(),
                ask.mark(),
                ask.first(),
                ask.tries() + 1));
  }

  private boolean mayRepeat(ClientAttempt ask) {
    return ask.requestClass().effect == Effect.IDEMPOTENT
        || (ask.requestClass().effect == Effect.IDEMPOTENCY_KEYED && ask.requestClass().repeats);
  }

  /** One kept connection and the try that is out on it. */
  private final class Connection implements ConnectionHandler {
    private final ConnectionSide side;
    private final int proxy;
    private final RecordCutter cutter = new RecordCutter(this::line);
    private ClientAttempt out;
    private boolean over;
    private boolean used;

    Connection(ConnectionSide side, int proxy) {
      this.side = side;
      this.proxy = proxy;
    }

    void ask(
        RequestClass requestClass,
        int tenant,
        String key,
        String mark,
        Duration first,
        Duration wait,
        int tries) {
      ClientAttempt ask =
          new ClientAttempt(
              hex(), requestClass, tenant, key, mark, first, clock.now(), wait, tries, !used);
      used = true;
      boolean write = requestClass.effect != Effect.IDEMPOTENT;
      String labels =
          " O"
              + ask.id()
              + " Pc="
              + requestClass.name
              + ",t="
              + tenants.get(tenant)
              + ",d="
              + wait.toMillis()
              + (mark.isEmpty() ? "" : ",k=" + mark)
              + (tries > 0 ? ",r=1" : "");
      out = ask;
      side.write(
          Buffer.buffer(
              write
                  ? "ms " + key + " " + VALUE.length() + labels + "\r\n" + VALUE + "\r\n"
                  : "mg " + key + " v" + labels + "\r\n"));
      observer.asked(ask, proxy);
      if (chance.nextDouble() < habits.leaves) {
        clock.in(
            Duration.ofNanos((long) (wait.toNanos() * chance.nextDouble())),
            () -> {
              if (ask.equals(out)) {
                out = null;
                observer.left(ask, proxy);
                side.close();
                over = true;
              }
            });
      }
      clock.in(
          wait.plus(GIVES_UP),
          () -> {
            if (ask.equals(out)) {
              out = null;
              observer.neverAnswered(ask, proxy);
              side.close();
              over = true;
            }
          });
    }

    @Override
    public void came(Buffer bytes) {
      cutter.take(bytes);
    }

    private void line(byte[] bytes, int from, int to) {
      String line = Request.text(bytes, from, to);
      if (!line.startsWith("VA ")) {
        answered(line);
        return;
      }
      String size = line.split(" ")[1];
      int length = size.matches("\\d{1,7}") ? Integer.parseInt(size) : 0;
      cutter.expect(length + 2, (b, f, t) -> answered(line + " " + Request.text(b, f, t - 2)));
    }

    private void answered(String answer) {
      ClientAttempt ask = out;
      out = null;
      if (ask == null) {
        observer.answered(null, proxy, answer);
        return;
      }
      observer.answered(ask, proxy, answer);
      if (chance.nextDouble() < habits.stay) {
        over = true;
      } else if (!over
          && !stopped
          && kept.get(proxy).size() < MOST_KEPT
          && chance.nextInt(20) > 0) {
        kept.get(proxy).addLast(this);
      } else {
        side.close();
        over = true;
      }
      if (answer.startsWith("SERVER_ERROR busy")) {
        String[] words = answer.split(" ");
        again(ask, Duration.ofMillis(words.length > 2 ? Integer.parseInt(words[2]) : 0));
      } else if (!answer.startsWith("VA ") && !answer.startsWith("HD ") && mayRepeat(ask)) {
        again(ask, Duration.ZERO);
      }
    }

    @Override
    public void over() {
      over = true;
      kept.get(proxy).remove(this);
      if (out != null) {
        ClientAttempt ask = out;
        out = null;
        observer.cutOff(ask, proxy, !side.unread());
        // A close that crossed it, or a proxy that died: clients ask once more.
        if (mayRepeat(ask)) {
          again(ask, Duration.ZERO);
        }
      }
    }
  }

  private void rude() {
    clock.in(
        pause(Math.max(0.2, habits.rude)),
        () -> {
          if (!stopped) {
            if (habits.rude > 0) {
              int proxy = chance.nextInt(up.length);
              front.open(proxy, side -> new Rude(side, proxy), () -> {});
            }
            rude();
          }
        });
  }

  /** A connection on which comes what is no command. */
  private final class Rude implements ConnectionHandler {
    private static final int FORMS = 12;

    private final ConnectionSide side;
    private final int proxy;
    private final Duration since = clock.now();
    private final int form = chance.nextInt(FORMS);
    private final RecordCutter cutter = new RecordCutter(this::line);
    private boolean over;

    Rude(ConnectionSide side, int proxy) {
      this.side = side;
      this.proxy = proxy;
      String id = hex();
      String good = " O" + id + " Pc=" + requestClasses.get(0).name + ",d=400";
      String sent =
          switch (form) {
            case 0 -> "";
            case 1 -> "\u0001\u00fe\u0080 what\r\n";
            case 2 -> "mg k1 v" + "x".repeat(5000);
            case 3 -> "ms k1 -5" + good + "\r\n";
            case 4 -> "ms k1 60000000" + good + "\r\n";
            case 5 -> "mg k1 v O" + id + " Pc=nothing,d=400\r\n";
            case 6 -> "mg k1 v O" + id + " Pc=" + requestClasses.get(0).name + ",d=soon\r\n";
            case 7 -> "mg k1 v Pc=" + requestClasses.get(0).name + ",d=400\r\n";
            case 8 -> "ms k1 5" + good + "\r\nhe";
            case 9 -> "mn2\r\n".repeat(300);
            case 10 -> "ms k1 5" + good + "\r\nhello, and more than said\r\n";
            default -> "mg " + "k".repeat(300) + " v" + good + "\r\n";
          };
      if (!sent.isEmpty()) {
        side.write(Buffer.buffer(sent));
      }
      if (form == 8 && chance.nextBoolean()) {
        side.close();
        over = true;
      } else {
        clock.in(Duration.ofMillis(3600), () -> tell(null, ""));
      }
    }

    @Override
    public void came(Buffer bytes) {
      cutter.take(bytes);
    }

    private void line(byte[] bytes, int from, int to) {
      tell(clock.now().minus(since), Request.text(bytes, from, to));
    }

    private void tell(Duration took, String answer) {
      if (!over) {
        over = true;
        observer.rude(proxy, "form " + form, took, answer);
        side.close();
      }
    }

    @Override
    public void over() {
      tell(clock.now().minus(since), "");
    }
  }
}
