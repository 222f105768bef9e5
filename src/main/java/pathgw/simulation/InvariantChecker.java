package pathgw.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import pathgw.fake.BackendObserver;
import pathgw.fake.Request;
import pathgw.fake.client.ClientAttempt;
import pathgw.fake.client.ClientObserver;
import pathgw.fake.client.RequestClass.Effect;
import pathgw.observability.RequestObserver;
import pathgw.server.ProxyServer;

/**
 * Sees all of one run and says which rule was broken first. What a proxy may know counts, not what
 * is true: a request whose last byte was written may have run, unless a node said that it did not.
 */
final class InvariantChecker implements BackendObserver, ClientObserver {
  /** What the rules say, as the settings of the run have it; spans in nanoseconds. */
  record Figures(
      long answerSlack, long drainGrace, int maxAttempts, String group, long memory, int sockets) {}

  /** What the referee asks of the world. */
  interface World {
    /** When the proxy's process last began. */
    long bornAt(int proxy);

    /** Up to when its loop last stood still; 0 for never. */
    long stoodUntil(int proxy);

    boolean dead(int proxy);

    boolean cold(String place);

    /** Where a place stands, for groups: its zone or its cell. */
    int zone(String place);

    int cell(String place);
  }

  /** Each limit is so much longer on sockets than in the simulator. */
  private static final long ON_SOCKETS = 50_000_000;

  /** What an answer takes to its client, and a client's going to the proxy. */
  private static final long ON_THE_WAY = 10_000_000;

  /** For a client that has gone nothing begins later than this, whatever held up the proxy. */
  private static final long GONE = 100_000_000;

  /** An attempt may tell so much more than what is left to its client, and no more. */
  private static final long TOLD_TOO_MUCH = 150_000_000;

  /** Descriptors that a proxy has for files, its selector, the list, its peers and its listener. */
  private static final int OTHER_DESCRIPTORS = 40;

  /** Service has come back by then, as measured over the last three seconds. */
  private static final long COMES_BACK_WITHIN_MS = 9000;

  private static final double ROOM_TO_COME_BACK = 2;
  private static final double SERVICE = 0.8;
  private static final long RUDE_WITHIN = 3_000_000_000L;

  /** Marks what is no sum. */
  static final String MOST = ", most";

  private static final class Attempt {
    final String place;
    final long last;
    boolean neverRan;

    public Attempt(String place, long last) {
      this.place = place;
      this.last = last;
    }
  }

  private static final class RequestActions {
    final ClientAttempt ask;
    final List<Attempt> attempts = new ArrayList<>(2);
    final List<String> made = new ArrayList<>(2);

    /** Far off, yet spans can be added to it. */
    long overAt = Long.MAX_VALUE / 2;

    long gaveUpAt = -1;
    int effects;
    boolean coldMiss;
    boolean left;

    RequestActions(ClientAttempt ask) {
      this.ask = ask;
    }
  }

  private record Notified(String health, long version, long since) {}

  private final EventQueue events;
  private final Trace trace;
  private final World world;
  private final Figures figures;
  private final Map<String, RequestActions> courses = new HashMap<>();
  private final List<Map<String, Notified>> told = new ArrayList<>();
  private final Map<String, Long> counts = new TreeMap<>();
  private final Map<String, long[]> seconds = new TreeMap<>();
  private long asked;
  private long served;
  private long countFrom = Long.MAX_VALUE;
  private Violation breach;

  InvariantChecker(EventQueue events, Trace trace, World world, Figures figures, int proxies) {
    this.events = events;
    this.trace = trace;
    this.world = world;
    this.figures = figures;
    for (int i = 0; i < proxies; i++) {
      told.add(new LinkedHashMap<>());
    }
  }

  Violation breach() {
    return breach;
  }

  /** How often each kind of end and answer came. */
  Map<String, Long> counts() {
    return counts;
  }

  private void count(String what) {
    counts.merge(what, 1L, Long::sum);
  }

  /** What each proxy does alone adds up: a sum over all, and the most of it in one second. */
  private void addsUp(String what) {
    count("fleet " + what);
    long second = events.now() / 1_000_000_000;
    long[] of = seconds.computeIfAbsent(what, first -> new long[2]);
    of[1] = of[0] == second ? of[1] + 1 : 1;
    of[0] = second;
    counts.merge("fleet " + what + MOST + " in a second", of[1], Math::max);
  }

  /** A proxy has opened a connection. */
  void opened(String place) {
    if (place.equals("list")) {
      addsUp("list calls");
    } else if (place.startsWith("n")) {
      addsUp("connections to nodes");
    }
  }

  /** Service counts for first tries from now on. */
  void countFromNow() {
    countFrom = events.now();
  }

  /** The share of first tries that were served since then; 1 where none was asked. */
  double service() {
    return asked == 0 ? 1 : (double) served / asked;
  }

  void broken(int rule, String kind, String text) {
    trace.say(events.now(), () -> "BROKEN rule " + rule + ", " + kind + ": " + text);
    if (breach == null) {
      breach = new Violation(rule, kind, events.now(), text);
    }
  }

  private void note(long what, java.util.function.Supplier<String> text) {
    trace.mix(events.now(), what);
    trace.say(events.now(), text);
  }

  // The endpoint list.

  /** A proxy's process begins; it knows what its configuration says. */
  void begins(int proxy, Map<String, String> known, long version) {
    Map<String, Notified> now = told.get(proxy);
    now.clear();
    known.forEach((host, health) -> now.put(host, new Notified(health, version, events.now())));
  }

  @Override
  public void endpointNotified(String proxy, String host, String health, long version) {
    Map<String, Notified> now = told.get(number(proxy));
    if (host.isEmpty()) {
      now.replaceAll(
          (h, t) ->
              t.version < version && !t.health.equals("gone")
                  ? new Notified("gone", version, events.now())
                  : t);
      return;
    }
    Notified before = now.get(host);
    if (before == null || before.version <= version) {
      boolean same = before != null && before.health.equals(health);
      now.put(host, new Notified(health, version, same ? before.since : events.now()));
      note(version, () -> proxy + " is told that " + host + " is " + health + ", list " + version);
    }
  }

  /** What the list has to tell counts as told after a while, unless it could not be asked. */
  void countsAsTold(int proxy, String host, String health, long version) {
    Notified before = told.get(proxy).get(host);
    if (before != null && before.version < version && before.health.equals("ready")) {
      told.get(proxy).put(host, new Notified(health, version, events.now()));
    }
  }

  private static int number(String proxy) {
    return Integer.parseInt(proxy.substring(1));
  }

  // Proxies.

  RequestObserver observer(int proxy) {
    return new RequestObserver() {
      @Override
      public void decided(String request) {
        RequestActions c = courses.get(request);
        if (c != null && c.gaveUpAt < 0) {
          c.gaveUpAt = events.now();
        }
        trace.say(events.now(), () -> "p" + proxy + " gives up " + request);
      }

      @Override
      public void ended(String request, String end) {
        count("end " + end);
        trace.say(events.now(), () -> "p" + proxy + " hand-off of " + request + " ends " + end);
      }
    };
  }

  /** A proxy has written a whole command for a node; {@code first} is when its first byte went. */
  void handedOff(int proxy, String place, Request request, long first) {
    long now = events.now();
    note(request.id().hashCode(), () -> "p" + proxy + " hands " + request.id() + " to " + place);
    addsUp(
        place.equals("origin")
            ? "fetches and writes at the origin"
            : world.cold(place) ? "hand-offs to cold nodes" : "hand-offs to warm nodes");
    RequestActions c = courses.get(request.id());
    if (c == null) {
      return;
    }
    Notified standing = told.get(proxy).get(place);
    if (standing != null && !standing.health.equals("ready")) {
      counts.merge(
          "rule 3, ms after it was told of leaving that a node got something new" + MOST,
          (first - standing.since) / 1_000_000,
          Math::max);
    }
    if (standing != null
        && !standing.health.equals("ready")
        && first > standing.since + figures.drainGrace + ON_SOCKETS) {
      broken(
          3,
          "drain",
          "p"
              + proxy
              + " hands "
              + request.id()
              + " to "
              + place
              + " "
              + (now - standing.since) / 1_000_000
              + " ms after it was told that it is "
              + standing.health);
    }
    for (Attempt h : c.attempts) {
      if (!h.neverRan && !mayFollow(c.ask.requestClass().effect(), h, place, first)) {
        broken(
            2,
            "resend",
            request.id()
                + ", "
                + c.ask.requestClass().effect()
                + ", goes to "
                + place
                + " though "
                + h.place
                + " may have run it "
                + (first - h.last) / 1_000_000
                + " ms before");
      }
    }
    if (first > c.overAt + ON_THE_WAY && world.stoodUntil(proxy) < c.overAt) {
      broken(1, "after", request.id() + " is handed to " + place + " after it was answered");
    }
    if (c.left && first > c.overAt + GONE + 2 * ON_THE_WAY) {
      broken(
          1,
          "gone",
          request.id()
              + " is handed to "
              + place
              + " "
              + (first - c.overAt) / 1_000_000
              + " ms after its client had gone");
    }
    if (first > c.ask.deadline().toNanos() + figures.answerSlack + ON_SOCKETS) {
      broken(
          1, "late-hand-off", request.id() + " is handed to " + place + " after its outer limit");
    }
    String told = request.label('d');
    long left = c.ask.deadline().toNanos() - first;
    if (!told.isEmpty() && Long.parseLong(told) * 1_000_000 > left + TOLD_TOO_MUCH) {
      broken(
          1,
          "time-told",
          request.id()
              + " tells "
              + place
              + " "
              + told
              + " ms though its client waits "
              + left / 1_000_000
              + " ms more");
    }
    if (c.attempts.size() >= figures.maxAttempts) {
      broken(
          1, "many", request.id() + " is handed off more than " + figures.maxAttempts + " times");
    }
    c.attempts.add(new Attempt(place, now));
  }

  private boolean mayFollow(Effect effect, Attempt earlier, String place, long at) {
    return switch (effect) {
      case IDEMPOTENT -> true;
      case AT_MOST_ONCE -> false;
      case IDEMPOTENCY_KEYED ->
          at <= earlier.last + figures.memory
              && switch (figures.group) {
                case "all" -> true;
                case "zone" -> world.zone(earlier.place) == world.zone(place);
                default -> world.cell(earlier.place) == world.cell(place);
              };
    };
  }

  /** After every step of a proxy. */
  void bounds(int proxy, ProxyServer.Held held) {
    if (held.clients() > held.mostClients()
        || held.toNodes() > held.mostToNodes()
        || held.requests() > held.mostClients() * 16) {
      broken(5, "bounds", "p" + proxy + " holds " + held);
    }
    if (held.clients() + held.toNodes() + OTHER_DESCRIPTORS > figures.sockets()) {
      broken(
          5,
          "descriptors",
          "p" + proxy + " holds " + held + " with " + figures.sockets() + " descriptors");
    }
  }

  /** At the very end, when nobody asks any more. */
  void empty(int proxy, ProxyServer.Held held) {
    if (held.requests() > 0 || held.clients() > 0 || held.toNodes() > 0) {
      broken(5, "leak", "p" + proxy + " still holds " + held);
    }
  }

  /**
   * Once the troubles are over, service comes back; where nodes are gone for good it may not.
   *
   * @param room how many times the steady load is borne by what is left
   * @param calmMs for how long there had been no trouble when the last request came
   */
  void cameBack(double room, long calmMs) {
    if (room >= ROOM_TO_COME_BACK && calmMs >= COMES_BACK_WITHIN_MS && service() < SERVICE) {
      broken(
          5,
          "service",
          String.format(
              java.util.Locale.ROOT,
              "%.2f of the first tries are delivered though %.1f s have passed in peace",
              service(),
              calmMs / 1000.0));
    }
  }

  void fault(int proxy, RuntimeException e) {
    StackTraceElement[] at = e.getStackTrace();
    broken(5, "fault", "p" + proxy + ": " + e + (at.length > 0 ? " at " + at[0] : ""));
  }

  // Nodes and the origin.

  @Override
  public void requestAccepted(String place, Request request, boolean again) {
    RequestActions c = courses.get(request.id());
    if (c == null || !request.write() || again || ++c.effects == 1) {
      return;
    }
    // A node that stood still may run what it had after the group's memory of a lawful repeat has
    // ended.
    if (c.ask.requestClass().effect() == Effect.IDEMPOTENCY_KEYED) {
      count("numbered access ran twice, each hand-off lawful");
    } else {
      broken(2, "twice", request.id() + " took effect again at " + place);
    }
  }

  @Override
  public void requestRejected(String place, Request request) {
    neverRan(place, request);
  }

  @Override
  public void cacheMissed(String place, Request request, boolean cold) {
    neverRan(place, request);
    RequestActions c = courses.get(request.id());
    if (c != null) {
      c.coldMiss |= cold;
    }
  }

  private void neverRan(String place, Request request) {
    RequestActions c = courses.get(request.id());
    if (c != null) {
      c.attempts.stream()
          .filter(h -> h.place.equals(place) && !h.neverRan)
          .findFirst()
          .ifPresent(h -> h.neverRan = true);
    }
  }

  @Override
  public void replyCreated(String place, Request request, String answer) {
    RequestActions c = courses.get(request.id());
    if (c != null) {
      c.made.add(answer);
    }
  }

  @Override
  public void coldNodeLoad(double part) {
    counts.merge(
        "rule 4, percent of what pushes a cold node over" + MOST, (long) (part * 100), Math::max);
  }

  @Override
  public void coldNodeCrashed(String place, List<Arrival> work) {
    long fromTold =
        work.stream().filter(a -> told.get(number(a.from())).containsKey(place)).count();
    note(work.size(), () -> place + " falls over under " + work.size() + " accesses");
    count("node pushed over");
    if (fromTold * 3 >= work.size() * 2L) {
      broken(
          4,
          "cold",
          place
              + ", cold, falls over under "
              + work.size()
              + " accesses, "
              + fromTold
              + " of them from proxies that knew it");
    }
  }

  @Override
  public void originWentDown(List<Arrival> work) {
    long cold =
        work.stream().map(a -> courses.get(a.id())).filter(c -> c != null && c.coldMiss).count();
    note(work.size(), () -> "the origin goes down under " + work.size() + " accesses");
    count("origin went down");
    if (cold * 2 >= work.size()) {
      broken(
          4,
          "origin",
          "the origin goes down under "
              + work.size()
              + " accesses, "
              + cold
              + " of them missed at cold nodes");
    }
  }

  // Clients.

  @Override
  public void attemptSent(ClientAttempt ask, int proxy) {
    note(
        ask.id().hashCode(),
        () ->
            "client asks p"
                + proxy
                + " for "
                + ask.requestClass().name()
                + " "
                + ask.key()
                + ", "
                + ask.id()
                + ", waits "
                + ask.timeout().toMillis()
                + " ms"
                + (ask.retries() > 0 ? ", again" : ""));
    courses.put(ask.id(), new RequestActions(ask));
    count("asked");
    asked += ask.retries() == 0 && events.now() >= countFrom ? 1 : 0;
  }

  @Override
  public void answered(ClientAttempt ask, int proxy, String answer) {
    long now = events.now();
    note(
        answer.hashCode(),
        () ->
            "p"
                + proxy
                + " answers "
                + (ask == null ? "nobody" : ask.id())
                + ": "
                + answer.substring(0, Math.min(60, answer.length())));
    RequestActions c = ask == null ? null : courses.get(ask.id());
    if (c == null) {
      broken(1, "two-answers", "p" + proxy + " gives an answer that nobody asked for: " + answer);
      return;
    }
    c.overAt = now;
    long late = now - ask.deadline().toNanos() - figures.answerSlack - ON_SOCKETS - ON_THE_WAY;
    if (late > 0 && now > world.stoodUntil(proxy) + ON_THE_WAY + ON_SOCKETS) {
      broken(1, "late", ask.id() + " is answered " + late / 1_000_000 + " ms too late");
    }
    String[] words = answer.split(" ");
    if (words[0].equals("VA") || words[0].equals("HD")) {
      String own = words[0].equals("VA") ? words[words.length - 1] : words[2].substring(1);
      if (!answer.contains(" O" + ask.id()) || !c.made.contains(own)) {
        broken(1, "another's", ask.id() + " is served what was not made for it: " + answer);
      }
      served += ask.retries() == 0 && ask.sentAt().toNanos() >= countFrom ? 1 : 0;
      count("answer " + words[0]);
      return;
    }
    count("answer " + answer.replaceFirst(" \\d+$", ""));
    if (words[0].equals("CLIENT_ERROR")) {
      broken(1, "refused", ask.id() + ", a good command, is answered " + answer);
    }
    if (c.gaveUpAt >= 0 && now > Math.max(c.gaveUpAt, world.stoodUntil(proxy)) + ON_THE_WAY) {
      broken(
          1,
          "held-back",
          ask.id() + " was given up " + (now - c.gaveUpAt) / 1_000_000 + " ms before it was told");
    }
    boolean mayHaveRun = c.attempts.stream().anyMatch(h -> !h.neverRan);
    Effect effect = ask.requestClass().effect();
    if (answer.startsWith("SERVER_ERROR busy")
        && mayHaveRun
        && effect != Effect.IDEMPOTENT
        && !(effect == Effect.IDEMPOTENCY_KEYED && figures.group.equals("all"))) {
      broken(2, "denied", ask.id() + ", " + effect + ", is denied though it may have run");
    }
  }

  @Override
  public void attemptAbandoned(ClientAttempt ask, int proxy) {
    note(2, () -> "client of " + ask.id() + " leaves");
    courses.get(ask.id()).overAt = events.now();
    courses.get(ask.id()).left = true;
    count("client left");
  }

  @Override
  public void connectionLost(ClientAttempt ask, int proxy, boolean taken) {
    note(3, () -> "connection of " + ask.id() + " ends, command " + (taken ? "taken" : "not read"));
    RequestActions c = courses.get(ask.id());
    c.overAt = events.now();
    boolean died = world.dead(proxy) || world.bornAt(proxy) > ask.sentAt().toNanos();
    // A close that crosses a command is no loss; one long after the command had come is.
    boolean crossed = !taken && events.now() - ask.sentAt().toNanos() < ON_THE_WAY;
    boolean unserved = c.attempts.isEmpty() && ask.firstOnConnection();
    count(
        died
            ? "died with its proxy"
            : crossed ? "closed as it came" : unserved ? "closed unserved" : "lost");
    if (!crossed && !died && !unserved) {
      broken(
          1,
          "lost",
          "p" + proxy + " took " + ask.id() + " and ended the connection without an answer");
    }
  }

  @Override
  public void attemptTimedOut(ClientAttempt ask, int proxy) {
    note(4, () -> ask.id() + " is never answered");
    RequestActions c = courses.get(ask.id());
    c.overAt = events.now();
    boolean still = world.stoodUntil(proxy) + ON_THE_WAY > ask.deadline().toNanos();
    if (!world.dead(proxy) && world.bornAt(proxy) <= ask.sentAt().toNanos() && !still) {
      broken(1, "no-answer", "p" + proxy + " never answers " + ask.id());
    }
  }

  @Override
  public void malformedInputEnded(int proxy, String what, Duration took, String answer) {
    note(
        5,
        () ->
            "rude client at p"
                + proxy
                + ", "
                + what
                + ": "
                + (took == null ? "left alone" : took.toMillis() + " ms " + answer));
    count("rude " + what);
    if (answer.startsWith("VA ") || answer.startsWith("HD ")) {
      broken(1, "served-rude", "p" + proxy + " serves what is no command, " + what + ": " + answer);
    }
    long since = events.now() - (took == null ? 3_600_000_000L : took.toNanos());
    boolean excused =
        world.dead(proxy) || world.bornAt(proxy) > since || world.stoodUntil(proxy) > since;
    if (!excused && (took == null || took.toNanos() > RUDE_WITHIN)) {
      broken(1, "rude-alone", "p" + proxy + " leaves a rude client alone, " + what);
    }
  }
}
