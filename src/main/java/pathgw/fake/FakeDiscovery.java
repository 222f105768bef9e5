package pathgw.fake;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * The endpoint list: whole lists and watches over HTTP, in turn for all proxies; late, down or
 * refusing at times.
 */
public final class FakeDiscovery {
  /**
   * One line of the list.
   *
   * @param health {@code ready}, {@code draining} or {@code gone}
   * @param bornMs when it last started, Unix time; 0 for long ago
   */
  public record Entry(
      String host, String dial, String site, String kind, int block, String health, long bornMs) {
    public String json() {
      return "{\"host\":\""
          + host
          + "\",\"dial\":\""
          + dial
          + "\",\"site\":\""
          + site
          + "\",\"class\":\""
          + kind
          + "\",\"block\":"
          + block
          + ",\"health\":\""
          + health
          + "\",\"share\":1.0,\"born_ms\":"
          + bornMs
          + "}";
    }

    public Entry is(String health) {
      return new Entry(host, dial, site, kind, block, health, bornMs);
    }
  }

  private record Change(long seq, Entry entry) {}

  private static final Duration KEEP_ALIVE = Duration.ofSeconds(2);

  /** So many changes are kept; who lags further behind gets the whole list. */
  private static final int CHANGES = 16;

  private static final Duration LONGEST_WAIT = Duration.ofSeconds(3);

  private final Clock clock;
  private final Random chance;
  private final BackendObserver observer;
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final Set<Conversation> talks = new LinkedHashSet<>();
  private final Map<String, Duration> deaf = new LinkedHashMap<>();
  private long seq = 1;
  private boolean down;
  private double refuses;
  private Duration late = Duration.ZERO;
  private double calls;
  private Duration busyUntil = Duration.ZERO;

  public FakeDiscovery(Clock clock, Random chance, BackendObserver observer) {
    this.clock = clock;
    this.chance = chance;
    this.observer = observer;
  }

  public void change(Entry entry) {
    seq++;
    if (entry.health().equals("gone")) {
      entries.remove(entry.host());
    } else {
      entries.put(entry.host(), entry);
    }
    changes.add(new Change(seq, entry));
    if (changes.size() > CHANGES) {
      changes.remove(0);
    }
    // What is told late is what was to be told then: a whole list may meanwhile have overtaken it.
    long upTo = seq;
    for (Conversation talk : List.copyOf(talks)) {
      if (talk.follows) {
        clock.in(lateness(), () -> talk.catchUp(upTo));
      }
    }
  }

  /** Whether it still has a node so; one that is gone it does not name. */
  public boolean says(String host, String health) {
    Entry now = entries.get(host);
    return health.equals(now == null ? "gone" : now.health());
  }

  public long seq() {
    return seq;
  }

  public List<Entry> entries() {
    return List.copyOf(entries.values());
  }

  /** What a change takes until it is written to who watches. */
  public void late(Duration late) {
    this.late = late;
  }

  private Duration lateness() {
    return Duration.ofNanos(1 + (long) (late.toNanos() * chance.nextDouble()));
  }

  public void refuses(double share) {
    refuses = share;
  }

  /**
   * Limits the calls that are worked off.
   *
   * @param calls a second that are worked off, in turn; 0 for any number
   */
  public void takes(double calls) {
    this.calls = calls;
  }

  /** When a call has its turn; null if it would wait too long. */
  private Duration turn() {
    if (calls == 0) {
      return Duration.ZERO;
    }
    Duration begins = busyUntil.compareTo(clock.now()) < 0 ? clock.now() : busyUntil;
    Duration waits = begins.minus(clock.now());
    if (waits.compareTo(LONGEST_WAIT) > 0) {
      return null;
    }
    busyUntil = begins.plusNanos((long) (1e9 / calls));
    return waits;
  }

  public void down(boolean down) {
    this.down = down;
    if (down) {
      endWatches();
    }
  }

  /** Open watches stay open and say nothing more; new ones are served. */
  public void silenceWatches(double share) {
    for (Conversation talk : talks) {
      if (talk.follows && !talk.silent && chance.nextDouble() < share) {
        talk.silent = true;
        deaf.put(talk.from, clock.now());
      }
    }
  }

  /**
   * Since when a proxy's watch has been silent with nothing answered to it since, whether or not it
   * has asked; null where it hears.
   */
  public Duration deafSince(String proxy) {
    return deaf.get(proxy);
  }

  public void endWatches() {
    List.copyOf(talks)
        .forEach(
            talk -> {
              talk.side.close();
              talk.over();
            });
  }

  /** The list as a proxy last had it, for its configuration. */
  public String whole() {
    StringBuilder text = new StringBuilder("{\"seq\":" + seq + ",\"whole\":true,\"hosts\":[");
    entries
        .values()
        .forEach(
            e -> text.append(text.charAt(text.length() - 1) == '[' ? "" : ",").append(e.json()));
    return text.append("]}").toString();
  }

  /**
   * Takes a connection.
   *
   * @return what it makes of the connection, or null while it is down
   */
  public ConnectionHandler accept(String from, ConnectionSide side) {
    return down ? null : new Conversation(from, side);
  }

  private final class Conversation implements ConnectionHandler {
    private final String from;
    private final ConnectionSide side;
    private final RecordCutter cutter = new RecordCutter(this::line);
    private String path;
    private long has = -1;
    private boolean follows;
    private boolean silent;

    private Conversation(String from, ConnectionSide side) {
      this.from = from;
      this.side = side;
      talks.add(this);
    }

    @Override
    public void came(Buffer bytes) {
      cutter.take(bytes);
    }

    private void line(byte[] bytes, int at, int to) {
      String line = Request.text(bytes, at, to);
      if (line.startsWith("GET ")) {
        path = line.split(" ")[1];
      } else if (line.isEmpty() && path != null) {
        String asked = path;
        path = null;
        Duration turn = turn();
        if (turn == null) {
          later();
        } else {
          clock.in(lateness().plusMillis(1).plus(turn), () -> answer(asked));
        }
      }
    }

    private void answer(String asked) {
      if (!talks.contains(this)) {
        return;
      }
      if (refuses > 0 && chance.nextDouble() < refuses) {
        if (chance.nextBoolean()) {
          side.reset();
          over();
        } else {
          later();
        }
        return;
      }
      deaf.remove(from);
      if (!asked.contains("follow=1")) {
        String list = whole();
        side.write(
            Buffer.buffer(
                "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list));
        tellWhole();
        return;
      }
      int since = asked.indexOf("since=");
      has = since < 0 ? -1 : Long.parseLong(asked.substring(since + 6));
      side.write(Buffer.buffer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
      follows = true;
      // The first line always comes, also where nothing has changed: it tells that the list is up
      // to
      // date.
      if (has == seq) {
        chunk("{\"seq\":" + seq + ",\"whole\":false,\"hosts\":[]}\n");
      } else {
        catchUp(seq);
      }
      keepAlive();
    }

    private void later() {
      side.write(Buffer.buffer("HTTP/1.1 503 Later\r\nContent-Length: 0\r\n\r\n"));
    }

    private void keepAlive() {
      clock.in(
          KEEP_ALIVE,
          () -> {
            if (talks.contains(this) && !silent) {
              chunk("\n");
              keepAlive();
            }
          });
    }

    private void catchUp(long upTo) {
      if (!talks.contains(this) || silent || has >= upTo) {
        return;
      }
      boolean known =
          has >= 0 && has < seq && !changes.isEmpty() && changes.get(0).seq() <= has + 1;
      if (!known) {
        chunk(whole() + "\n");
        tellWhole();
        has = seq;
      } else {
        List<Change> missed =
            changes.stream().filter(c -> c.seq() > has && c.seq() <= upTo).toList();
        StringBuilder text = new StringBuilder("{\"seq\":" + upTo + ",\"whole\":false,\"hosts\":[");
        missed.forEach(
            c -> text.append(c.equals(missed.get(0)) ? "" : ",").append(c.entry().json()));
        chunk(text.append("]}\n").toString());
        missed.forEach(c -> observer.told(from, c.entry().host(), c.entry().health(), upTo));
        has = upTo;
      }
    }

    private void tellWhole() {
      entries.values().forEach(e -> observer.told(from, e.host(), e.health(), seq));
      observer.told(from, "", "", seq);
    }

    private void chunk(String text) {
      side.write(Buffer.buffer(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
    }

    @Override
    public void over() {
      talks.remove(this);
    }
  }
}
