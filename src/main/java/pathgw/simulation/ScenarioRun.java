package pathgw.simulation;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import pathgw.config.Address;
import pathgw.config.Config;
import pathgw.fake.ConnectionHandler;
import pathgw.fake.ConnectionSide;
import pathgw.fake.Request;
import pathgw.fake.RequestReader;
import pathgw.fake.client.ClientBehavior;
import pathgw.fake.client.FakeClients;
import pathgw.fake.client.RequestClass;
import pathgw.fake.client.RequestClass.Effect;
import pathgw.fake.discovery.EndpointEntry;
import pathgw.fake.discovery.FakeDiscovery;
import pathgw.fake.server.DedupMemory;
import pathgw.fake.server.FakeCacheNode;
import pathgw.fake.server.FakeOrigin;
import pathgw.fake.server.FaultInjection;
import pathgw.server.ProxyServer;
import pathgw.simulation.Fault.Kind;

/** Plays one script from its start to its end, or to the first rule that is broken. */
final class ScenarioRun implements InvariantChecker.World {
  static final Duration COLD_FOR = Duration.ofSeconds(4);
  private static final double COLD_FROM = 0.3;
  private static final Duration FALL_FOR = Duration.ofSeconds(2);
  private static final Duration NODE_IDLE = Duration.ofSeconds(3);
  private static final long SLACK_MS = 50;
  private static final long GRACE_MS = 500;
  private static final int MAX_ATTEMPTS = 4;
  private static final int CELLS = 3;

  /** What the list has to tell counts as told by then. */
  private static final Duration TOLD_WITHIN = Duration.ofSeconds(6);

  private static final Duration ASK_WITHIN = Duration.ofSeconds(10);
  private static final long STOP_WITHIN_MS = 4500;
  private static final long SERVICE_OVER_MS = 3000;

  /** After the last command, until nothing may be held any more. */
  private static final long SETTLES_MS = 8000;

  private static final int GATES_AT = 100;
  private static final int GATES_A_NET = 250;
  private static final Address PEERS_ALL = new Address("10.0.255.1", 7946);
  private static final Address ORIGIN = new Address("10.3.0.1", 80);

  private final Scenario scenario;
  private final Mutation mutation;
  private final EventQueue events = new EventQueue();
  private final Trace trace;
  private final VirtualNetwork net;
  private final InvariantChecker checker;
  private final VirtualProcess clientsProcess;
  private final VirtualProcess listProcess;
  private final VirtualProcess originProcess;
  private final FakeDiscovery list;

  /** Every change of the list by its version. */
  private final TreeMap<Long, EndpointEntry> changed = new TreeMap<>();

  private final FakeOrigin origin;
  private final FaultInjection originFaults = new FaultInjection();
  private final FakeClients clients;
  private final List<Node> nodes = new ArrayList<>();
  private final List<Gate> gates = new ArrayList<>();
  private final Map<String, DedupMemory> memories = new LinkedHashMap<>();
  private final Map<String, List<Node>> missedAt = new LinkedHashMap<>();
  private final Map<String, Long> faults = new LinkedHashMap<>();
  private final List<VirtualConnection> listConnections = new ArrayList<>();
  private final FakeCacheNode.Parameters nodeFigures;
  private Address listAt = new Address("10.2.0.1", 8500);
  private long listDownUntil;
  private int incarnations;
  private int hosts;

  /** A cache node under one name, through all its processes. */
  private static final class Node {
    final String host;
    final FaultInjection mischief = new FaultInjection();
    final int number;
    final int zones;
    Address dial;
    VirtualProcess process;
    FakeCacheNode node;
    long bornMs;
    boolean going;

    Node(String host, int number, int zones) {
      this.host = host;
      this.number = number;
      this.zones = zones;
    }

    EndpointEntry entry(String health) {
      return new EndpointEntry(
          host, dial.toString(), "z" + number % zones, "std", number % CELLS, health, bornMs);
    }
  }

  /** A proxy under one name, through all its processes. */
  private static final class Gate {
    final int number;
    VirtualProcess process;
    ProxyServer proxy;
    long bornAt;
    boolean serves;
    boolean leaving;
    String known;
    Map<String, String> knownHealth = Map.of();
    long knownVersion;

    Gate(int number) {
      this.number = number;
    }

    Address listen() {
      return new Address(host(number), 11211);
    }

    static String host(int number) {
      return "10." + (GATES_AT + number / GATES_A_NET) + "." + number % GATES_A_NET + ".1";
    }
  }

  private ScenarioRun(Scenario scenario, Mutation mutation, Consumer<String> out) {
    this.scenario = scenario;
    this.mutation = mutation;
    trace = new Trace(out);
    net =
        new VirtualNetwork(
            events, chance("net"), (process, bytes) -> trace.mix(events.now(), bytes.hashCode()));
    checker =
        new InvariantChecker(
            events,
            trace,
            this,
            new InvariantChecker.Figures(
                SLACK_MS * 1_000_000,
                GRACE_MS * 1_000_000,
                MAX_ATTEMPTS,
                scenario.group(),
                scenario.memoryMs() * 1_000_000,
                scenario.sockets()),
            scenario.proxies());
    clientsProcess = process("clients");
    listProcess = process("list");
    originProcess = process("origin");
    list = new FakeDiscovery(listProcess, chance("list"), new ToldWitness());
    list.setCallsPerSecond(scenario.fleet().calls());
    int slots = Math.max(3, (int) Math.ceil(scenario.rate() * 0.01 * scenario.room()));
    origin =
        new FakeOrigin(
            "origin",
            originProcess,
            chance("origin"),
            checker,
            originFaults,
            new FakeOrigin.Parameters(
                slots,
                Duration.ofMillis(25),
                64,
                200,
                NODE_IDLE,
                2.5,
                FALL_FOR,
                Duration.ofSeconds(3),
                Duration.ofMillis(scenario.memoryMs())),
            new Copies());
    double service =
        Math.max(0.004, Math.min(0.06, scenario.nodes() / (scenario.room() * scenario.rate())));
    nodeFigures =
        new FakeCacheNode.Parameters(
            1,
            Duration.ofNanos((long) (service * 1e9)),
            24,
            scenario.fleet().places(),
            NODE_IDLE,
            COLD_FROM,
            COLD_FOR,
            scenario.tips(),
            FALL_FOR,
            4096,
            scenario.through() ? origin : null);
    clients =
        new FakeClients(
            clientsProcess,
            chance("clients"),
            this::open,
            checker,
            scenario.proxies(),
            scenario.fleet().uneven(),
            requestClasses(),
            List.of("one", "two", "three"),
            scenario.keys(),
            scenario.skew());
  }

  /**
   * @param out hears every line of what happened; null for none
   */
  static RunResult play(Scenario scenario, Mutation mutation, Consumer<String> out) {
    return new ScenarioRun(scenario, mutation, out).play();
  }

  private Random chance(String of) {
    return new Random(scenario.seed() * 1_000_003 + of.hashCode());
  }

  private VirtualProcess process(String name) {
    return new VirtualProcess(
        name,
        events,
        e -> {
          throw e;
        });
  }

  private List<RequestClass> requestClasses() {
    return List.of(
        new RequestClass("read", Effect.IDEMPOTENT, true, ms(1400), ms(600), 0.7),
        new RequestClass(
            "hold",
            Effect.IDEMPOTENCY_KEYED,
            scenario.group().equals("all"),
            ms(900),
            ms(450),
            0.2),
        new RequestClass("book", Effect.AT_MOST_ONCE, false, ms(1400), ms(700), 0.1));
  }

  private static Duration ms(long ms) {
    return Duration.ofMillis(ms);
  }

  private RunResult play() {
    net.listen(ORIGIN, originProcess, end -> takes(end, side -> origin.accept(name(end), side)));
    listens();
    if (!scenario.through()) {
      list.update(new EndpointEntry("origin", ORIGIN.toString(), "z0", "origin", 0, "ready", 0));
    }
    for (int i = 0; i < scenario.nodes(); i++) {
      Node n = newNode();
      begin(n, false);
      for (int k = 0; k < scenario.keys(); k++) {
        n.node.store("k" + k, 0);
      }
      list.update(n.entry("ready"));
    }
    for (int i = 0; i < scenario.proxies(); i++) {
      Gate g = new Gate(i);
      gates.add(g);
      knows(g);
      begin(g);
    }
    habits();
    clientsProcess.schedule(ms(300), clients::start);
    scenario.faults().forEach(f -> events.at(f.atMs() * 1_000_000, null, () -> strike(f)));
    events.at(
        Math.max(0, scenario.lastsMs() - SERVICE_OVER_MS) * 1_000_000, null, checker::countFromNow);
    events.at(scenario.lastsMs() * 1_000_000, null, clients::stop);
    long end = (scenario.lastsMs() + SETTLES_MS) * 1_000_000;
    long steps = 0;
    while (checker.breach() == null && events.step(end)) {
      steps++;
      VirtualProcess last = events.last();
      if (last != null && last.name.startsWith("p")) {
        Gate g = gates.get(Integer.parseInt(last.name.substring(1)));
        if (g.serves && !last.dead()) {
          checker.bounds(g.number, g.proxy.held());
        }
      }
    }
    if (checker.breach() == null) {
      gates.stream()
          .filter(g -> g.serves && !g.process.dead())
          .forEach(g -> checker.empty(g.number, g.proxy.held()));
      checker.cameBack(room(), events.now() / 1_000_000 - SETTLES_MS - scenario.calmFromMs());
    }
    Map<String, Long> counts = new LinkedHashMap<>(checker.counts());
    faults.forEach((kind, count) -> counts.put("fault " + kind, count));
    return new RunResult(
        scenario,
        checker.breach(),
        trace.digest(),
        steps,
        events.now() / 1_000_000,
        checker.service(),
        counts);
  }

  /** How many times the steady load the nodes bear that are left. */
  private double room() {
    long left = nodes.stream().filter(n -> !n.going && !n.process.dead()).count();
    return scenario.room() * Math.min(1, (double) left / scenario.nodes());
  }

  private void habits() {
    ClientBehavior h = clients.behavior();
    h.requestsPerSecond = scenario.rate();
    h.malformedPerSecond = scenario.rude();
    h.keptOpenShare = scenario.stay();
  }

  // Connections.

  private static String name(VirtualConnection end) {
    String[] parts = end.there().host().split("\\.");
    return "p"
        + ((Integer.parseInt(parts[1]) - GATES_AT) * GATES_A_NET + Integer.parseInt(parts[2]));
  }

  private boolean takes(VirtualConnection end, Function<ConnectionSide, ConnectionHandler> accept) {
    ConnectionHandler talk = accept.apply(new PipeSide(end));
    if (talk == null) {
      return false;
    }
    end.onData(talk::received);
    end.onClose(over -> talk.ended());
    return true;
  }

  private void open(int proxy, Function<ConnectionSide, ConnectionHandler> up, Runnable refused) {
    net.dial(clientsProcess, "10.4.0.1", gates.get(proxy).listen(), 1_000_000_000L)
        .onComplete(end -> takes(end, up), e -> refused.run());
  }

  private record PipeSide(VirtualConnection end) implements ConnectionSide {
    @Override
    public void write(Buffer bytes) {
      end.write(bytes);
    }

    @Override
    public void close() {
      end.close();
    }

    @Override
    public void reset() {
      end.reset();
    }

    @Override
    public boolean peerHasUnreadBytes() {
      return end.unreadThere();
    }
  }

  /** Reads along on what a proxy sends to a node or the origin. */
  private void tap(int proxy, VirtualConnection connection) {
    String place = connection.ownerThere().name;
    checker.opened(place);
    boolean http = place.equals("origin");
    if (!http && !place.startsWith("n")) {
      return;
    }
    long[] first = {-1};
    Consumer<Request> whole =
        request -> {
          checker.handedOff(proxy, place, request, first[0]);
          first[0] = -1;
        };
    RequestReader scan =
        http ? RequestReader.http(whole, () -> {}) : RequestReader.meta(whole, () -> {});
    connection.tap(
        bytes -> {
          first[0] = first[0] < 0 ? events.now() : first[0];
          scan.read(bytes);
        });
  }

  // Nodes and the origin.

  private final class Copies implements FakeOrigin.CacheListener {
    @Override
    public void valueFetched(Request request, int version) {
      List<Node> at = missedAt.remove(request.id());
      if (at != null) {
        at.stream()
            .filter(n -> !n.process.dead())
            .forEach(n -> n.node.store(request.key(), version));
      }
    }

    @Override
    public void valueOutdated(String key) {
      nodes.stream().filter(n -> !n.process.dead()).forEach(n -> n.node.remove(key));
    }
  }

  private Node newNode() {
    Node n = new Node("n" + hosts, hosts++, scenario.fleet().zones());
    nodes.add(n);
    return n;
  }

  /** A process for this node, at a new address if it has none. */
  private void begin(Node n, boolean cold) {
    n.process = process(n.host);
    n.dial =
        n.dial == null
            ? new Address("10.1." + incarnations % 250 + "." + (1 + incarnations++ / 250), 11211)
            : n.dial;
    n.bornMs = cold ? SimulatedTransport.EPOCH_MS + events.now() / 1_000_000 : 0;
    VirtualProcess own = n.process;
    String group =
        switch (scenario.group()) {
          case "zone" -> "z" + n.number % n.zones;
          case "cell" -> "c" + n.number % CELLS;
          default -> "all";
        };
    DedupMemory memory =
        memories.computeIfAbsent(group, g -> new DedupMemory(ms(scenario.memoryMs())));
    n.node =
        new FakeCacheNode(
            n.host,
            own,
            chance(n.host + incarnations),
            new NodeWitness(n),
            n.mischief,
            nodeFigures,
            cold ? own.now() : null,
            memory,
            () -> {
              own.die();
              listedLater(n, "gone", 500);
            });
    net.listen(n.dial, own, end -> takes(end, side -> n.node.accept(name(end), side)));
  }

  /** Also notes where reads missed, so that the origin's answer leaves a copy there. */
  private final class NodeWitness extends ForwardingObserver {
    private final Node node;

    NodeWitness(Node node) {
      super(checker);
      this.node = node;
    }

    @Override
    public void cacheMissed(String place, Request request, boolean cold) {
      if (!scenario.through()) {
        missedAt.computeIfAbsent(request.id(), id -> new ArrayList<>(1)).add(node);
      }
      super.cacheMissed(place, request, cold);
    }
  }

  private final class ToldWitness extends ForwardingObserver {
    ToldWitness() {
      super(checker);
    }

    @Override
    public void endpointNotified(String proxy, String host, String health, long version) {
      super.endpointNotified(proxy, host, health, version);
      if (host.isEmpty() || !health.isEmpty()) {
        knows(gates.get(Integer.parseInt(proxy.substring(1))));
      }
    }
  }

  private void knows(Gate g) {
    // Told of each of 200 nodes in turn, it knows no more than by the first.
    if (g.known != null && g.knownVersion == list.version()) {
      return;
    }
    g.known = list.completeListJson();
    g.knownVersion = list.version();
    Map<String, String> health = new LinkedHashMap<>();
    list.entries().forEach(e -> health.put(e.host(), e.health()));
    g.knownHealth = health;
  }

  private void listed(Node n, String health) {
    list.update(n.entry(health));
    long version = list.version();
    changed.put(version, n.entry(health));
    long since = events.now();
    gates.forEach(g -> countsAsToldIfDeaf(g, n.entry(health)));
    if (!health.equals("ready")) {
      events.in(
          TOLD_WITHIN.toNanos(),
          null,
          () -> gates.forEach(g -> countsAsTold(g, n.entry(health), version, since)));
    }
  }

  /**
   * Whatever became of its calls: so long after the discovery service had it and could be reached,
   * by a process that was there. What has changed back by then nobody can be told any more.
   */
  private void countsAsTold(Gate g, EndpointEntry e, long version, long since) {
    if (g.process.dead() || !list.hasHealth(e.host(), e.health())) {
      return;
    }
    long from = Math.max(since, Math.max(listDownUntil, g.bornAt));
    long left = from + TOLD_WITHIN.toNanos() - events.now();
    if (left <= 0) {
      checker.countsAsTold(g.number, e.host(), e.health(), version);
    } else if (listDownUntil < Long.MAX_VALUE / 2) {
      events.in(left, null, () -> countsAsTold(g, e, version, since));
    }
  }

  private void listedLater(Node n, String health, long afterMs) {
    VirtualProcess then = n.process;
    events.in(
        afterMs * 1_000_000,
        null,
        () -> {
          if (n.process == then) {
            listed(n, health);
          }
        });
  }

  // Proxies.

  private void begin(Gate g) {
    g.process = new VirtualProcess("p" + g.number, events, e -> checker.fault(g.number, e));
    g.bornAt = events.now();
    g.serves = false;
    g.leaving = false;
    VirtualProcess own = g.process;
    Config config = Config.read(mutation.config(config(g)).getBytes(StandardCharsets.UTF_8));
    checker.begins(g.number, g.knownHealth, g.knownVersion);
    SimulatedTransport transport =
        new SimulatedTransport(
            events,
            net,
            own,
            Gate.host(g.number),
            PEERS_ALL,
            to -> connection -> tap(g.number, connection));
    g.proxy =
        new ProxyServer(
            mutation.transport(transport, g.number),
            config,
            scenario.warmUp(),
            checker.observer(g.number));
    net.soon(
        own,
        () ->
            g.proxy
                .start()
                .onComplete(
                    port -> {
                      g.serves = true;
                      clients.proxyStarted(g.number);
                      trace.say(events.now(), () -> "p" + g.number + " serves");
                    },
                    e -> checker.broken(5, "start", "p" + g.number + " does not start: " + e)));
  }

  private void kill(Gate g) {
    g.process.die();
    g.serves = false;
  }

  private void stop(Gate g, long againMs) {
    VirtualProcess own = g.process;
    g.leaving = true;
    clients.proxyDraining(g.number);
    events.in(
        STOP_WITHIN_MS * 1_000_000,
        null,
        () -> {
          if (g.process == own && !own.dead() && own.stoodUntil() < events.now() - 3_000_000_000L) {
            checker.broken(
                1, "stop", "p" + g.number + " has not stopped in " + STOP_WITHIN_MS + " ms");
          }
        });
    net.soon(
        own,
        () ->
            g.proxy
                .stop()
                .onSuccess(
                    done ->
                        events.at(
                            events.now(),
                            null,
                            () -> {
                              if (g.process != own || own.dead()) {
                                return;
                              }
                              trace.say(events.now(), () -> "p" + g.number + " has stopped");
                              kill(g);
                              events.in(againMs * 1_000_000, null, () -> begin(g));
                            })));
  }

  private String config(Gate g) {
    StringBuilder peers = new StringBuilder();
    for (int i = 0; i < scenario.proxies(); i++) {
      peers.append(i == 0 ? "" : ",").append("\"").append(Gate.host(i)).append(":7946\"");
    }
    StringBuilder zones = new StringBuilder();
    for (int i = 0; i < scenario.fleet().zones(); i++) {
      zones.append(i == 0 ? "" : ",").append("\"z").append(i).append('"');
    }
    double quota = scenario.rate() * 0.6;
    return String.format(
        Locale.ROOT,
        "{\"name\":\"p%d\",\"listen\":\"%s\",\"discovery\":\"%s\",\"seed\":\"%x\","
            + "\"limits\":{\"sockets\":%d},"
            + "\"peer_listen\":\"%s:7946\",\"peers\":[%s],\"peers_all\":\"%s\","
            + "\"known\":%s,\"settings\":{\"instances\":%d,\"zones\":[%s],"
            + "\"hostTypes\":[\"std\",\"origin\"],\"familyInfo\":{\"mode\":\"%s\",\"originKind\":%d},"
            + "\"customers\":[{\"name\":\"one\",\"quotaPerS\":%f},{\"name\":\"two\",\"quotaPerS\":%f},"
            + "{\"name\":\"three\",\"quotaPerS\":%f}],\"offerings\":[%s,%s,%s],"
            + "\"ceilings\":{\"maxHandOffs\":%d,\"mayDuplicate\":true,\"cancel\":true,\"peers\":true,"
            + "\"retryAfter\":true,\"maxRetryAfterNs\":300000000,"
            + "\"connIdleNs\":%d,\"connectTimeoutNs\":75000000},"
            + "\"registryMode\":\"ask\",\"stepNs\":2000000,\"obligations\":{\"askWithinNs\":%d,"
            + "\"coldFrom\":%f,\"coldNs\":%d,\"tipMultiple\":%f,\"fallNs\":%d,\"answerSlackNs\":%d}}}",
        g.number,
        g.listen(),
        listAt,
        scenario.seed() * 31 + g.number + events.now(),
        scenario.sockets(),
        Gate.host(g.number),
        peers,
        PEERS_ALL,
        g.known,
        scenario.proxies(),
        zones,
        scenario.through() ? "through" : "aside",
        scenario.through() ? -1 : 1,
        quota,
        quota,
        quota,
        requestClass("read", "free", 400, 1400),
        requestClass("hold", "guarded", 150, 900),
        requestClass("book", "single_shot", 400, 1400),
        MAX_ATTEMPTS,
        NODE_IDLE.toNanos(),
        ASK_WITHIN.toNanos(),
        COLD_FROM,
        COLD_FOR.toNanos(),
        scenario.tips(),
        FALL_FOR.toNanos(),
        SLACK_MS * 1_000_000);
  }

  private String requestClass(String name, String effect, long goalMs, long limitMs) {
    return "{\"name\":\""
        + name
        + "\",\"effect\":\""
        + effect
        + "\",\"dedupScope\":\""
        + scenario.group()
        + "\",\"keyTtlNs\":"
        + scenario.memoryMs()
        + "000000,\"latencyGoalNs\":"
        + goalMs
        + "000000,\"outerLimitNs\":"
        + limitMs
        + "000000,\"earnings\":1.0,\"tardyEarnings\":0.5}";
  }

  @Override
  public long bornAt(int proxy) {
    return gates.get(proxy).bornAt;
  }

  @Override
  public long stoodUntil(int proxy) {
    return gates.get(proxy).process.stoodUntil();
  }

  @Override
  public boolean dead(int proxy) {
    return gates.get(proxy).process.dead();
  }

  @Override
  public int zone(String place) {
    return place.startsWith("n")
        ? Integer.parseInt(place.substring(1)) % scenario.fleet().zones()
        : 0;
  }

  @Override
  public boolean cold(String place) {
    return place.startsWith("n") && nodes.get(Integer.parseInt(place.substring(1))).node.isCold();
  }

  @Override
  public int cell(String place) {
    return place.startsWith("n") ? Integer.parseInt(place.substring(1)) % CELLS : 0;
  }

  // The list.

  private void listens() {
    net.listen(
        listAt,
        listProcess,
        end ->
            takes(
                end,
                side -> {
                  listConnections.add(end);
                  return list.accept(name(end), side);
                }));
  }

  private void hangUp() {
    net.deaf(listAt);
    listAt = new Address("10.2.0." + (listAt.host().endsWith(".1") ? 2 : 1), 8500);
    List<VirtualConnection> old = List.copyOf(listConnections);
    listConnections.clear();
    listens();
    events.in(1_500_000_000L, null, () -> old.forEach(VirtualConnection::close));
    gates.stream()
        .filter(g -> g.serves && !g.leaving)
        .forEach(
            g -> {
              Config read = Config.read(config(g).getBytes(StandardCharsets.UTF_8));
              net.soon(g.process, () -> g.proxy.readAgain(read));
            });
  }

  // Troubles.

  private boolean spare() {
    return nodes.stream().filter(n -> !n.going && !n.process.dead()).count()
        > Math.max(1, scenario.nodes() / 2);
  }

  @SuppressWarnings("EnumOrdinal") // Part of the digest.
  private void strike(Fault f) {
    trace.mix(events.now(), f.kind().ordinal());
    trace.say(events.now(), f::toString);
    faults.merge(f.kind().word(), 1L, Long::sum);
    Node n = f.kind().on == Fault.On.NODE ? nodes.get(f.target() % scenario.nodes()) : null;
    Gate g = f.kind().on == Fault.On.PROXY ? gates.get(f.target() % gates.size()) : null;
    ClientBehavior h = clients.behavior();
    switch (f.kind()) {
      case DIES, MOVES -> die(n, f);
      case FREEZES -> n.process.standStill(events.now() + f.forMs() * 1_000_000);
      case VANISHES -> vanish(n, f);
      case SLOW ->
          during(f, () -> n.mischief.slowdownFactor = f.by(), () -> n.mischief.slowdownFactor = 1);
      case DRAINS -> drain(n);
      case FLUSHED -> n.node.flush();
      case CUTS -> {
        VirtualProcess to = n.process;
        during(f, () -> net.cutsBefore(to, f.by()), () -> net.cutsBefore(to, 0));
      }
      case CONNECTS_LATE -> {
        VirtualProcess to = n.process;
        during(f, () -> net.connectsLate(to, (long) (f.by() * 1e6)), () -> net.connectsLate(to, 0));
      }
      case RESETS ->
          during(f, () -> n.mischief.resetShare = f.by(), () -> n.mischief.resetShare = 0);
      case CLOSES ->
          during(f, () -> n.mischief.closedShare = f.by(), () -> n.mischief.closedShare = 0);
      case SPOILS ->
          during(
              f,
              () -> n.mischief.corruptReplyShare = f.by(),
              () -> n.mischief.corruptReplyShare = 0);
      case BABBLES ->
          during(
              f, () -> n.mischief.extraBytesShare = f.by(), () -> n.mischief.extraBytesShare = 0);
      case FAILS ->
          during(f, () -> n.mischief.errorShare = f.by(), () -> n.mischief.errorShare = 0);
      case BUSY ->
          during(f, () -> n.mischief.rejectedShare = f.by(), () -> n.mischief.rejectedShare = 0);
      case GROWS -> grow();
      case DEPLOY -> deploy(f);
      case ORIGIN_SLOW ->
          during(
              f, () -> originFaults.slowdownFactor = f.by(), () -> originFaults.slowdownFactor = 1);
      case ORIGIN_FAILS ->
          during(f, () -> originFaults.errorShare = f.by(), () -> originFaults.errorShare = 0);
      case ORIGIN_SPOILS ->
          during(
              f,
              () -> originFaults.corruptReplyShare = f.by(),
              () -> originFaults.corruptReplyShare = 0);
      case ORIGIN_RESETS ->
          during(f, () -> originFaults.resetShare = f.by(), () -> originFaults.resetShare = 0);
      case LIST_LATE ->
          during(
              f, () -> list.setMaxDelay(ms((long) f.by())), () -> list.setMaxDelay(Duration.ZERO));
      case LIST_DOWN -> down(f);
      case LIST_REFUSES ->
          during(f, () -> list.setRefusedShare(f.by()), () -> list.setRefusedShare(0));
      case LIST_ENDS -> list.closeConnections();
      case LIST_SILENT -> silent(f.by());
      case LIST_DRAINS -> listDrains(f);
      case PEERS_LOSE -> during(f, () -> net.datagrams(f.by(), 0), () -> net.datagrams(0, 0));
      case PEERS_LATE ->
          during(f, () -> net.datagrams(0, (long) (f.by() * 1e6)), () -> net.datagrams(0, 0));
      case KILLED -> {
        if (!g.process.dead()) {
          restart(g, f.forMs());
        }
      }
      case STOPPED -> {
        if (g.serves && !g.leaving) {
          stop(g, Math.max(1, f.forMs()));
        }
      }
      case STANDS_STILL -> g.process.standStill(events.now() + f.forMs() * 1_000_000);
      case HANGUP -> hangUp();
      case BURST ->
          during(
              f,
              () -> h.requestsPerSecond = scenario.rate() * f.by(),
              () -> h.requestsPerSecond = scenario.rate());
      case HOT -> during(f, () -> h.hotKeyShare = f.by(), () -> h.hotKeyShare = 0);
      case GREED -> during(f, () -> h.firstTenantWeight = f.by(), () -> h.firstTenantWeight = 1);
      case LEAVE -> during(f, () -> h.abandonedShare = f.by(), () -> h.abandonedShare = 0);
      case RESTART ->
          gates.stream()
              .limit((long) (gates.size() * Math.min(1, f.by())))
              .filter(gate -> !gate.process.dead())
              .forEach(gate -> restart(gate, f.forMs()));
      case ZONE_LOST -> zone(f).forEach(node -> die(node, f));
      case ZONE_SILENT -> zone(f).forEach(node -> vanish(node, f));
    }
  }

  /**
   * What a silent watch misses counts as told so long after it fell silent: all of it, whenever it
   * changed, and also for a proxy that has asked and was turned away.
   */
  private void silent(double share) {
    list.silenceWatches(share);
    events.in(
        TOLD_WITHIN.toNanos(),
        null,
        () ->
            gates.forEach(
                g ->
                    changed
                        .values()
                        .forEach(
                            e -> {
                              if (list.hasHealth(e.host(), e.health())) {
                                countsAsToldIfDeaf(g, e);
                              }
                            })));
  }

  private void countsAsToldIfDeaf(Gate g, EndpointEntry e) {
    Duration since = list.silentSince("p" + g.number);
    if (since != null
        && !g.process.dead()
        && g.bornAt < since.toNanos()
        && since.plus(TOLD_WITHIN).toNanos() <= events.now()) {
      checker.countsAsTold(g.number, e.host(), e.health(), list.version());
    }
  }

  private void listDrains(Fault f) {
    List<Node> up = nodes.stream().filter(n -> !n.going && !n.process.dead()).toList();
    int count = (int) Math.ceil(up.size() * Math.min(1, f.by()));
    for (int i = 0; i < count; i++) {
      Node n = up.get(i);
      events.in(
          i * 1_000_000_000L / count,
          null,
          () -> {
            n.going = true;
            listed(n, "draining");
          });
    }
  }

  private void restart(Gate g, long againMs) {
    kill(g);
    events.in(Math.max(1, againMs) * 1_000_000, null, () -> begin(g));
  }

  private List<Node> zone(Fault f) {
    return nodes.stream().filter(n -> n.number % n.zones == (int) f.by() % n.zones).toList();
  }

  private void during(Fault f, Runnable begins, Runnable ends) {
    begins.run();
    if (f.forMs() > 0) {
      events.in(f.forMs() * 1_000_000, null, ends);
    }
  }

  /** It turns nobody away meanwhile: it cannot be reached. */
  private void down(Fault f) {
    listDownUntil =
        f.forMs() == 0
            ? Long.MAX_VALUE / 2
            : Math.max(listDownUntil, events.now() + f.forMs() * 1_000_000);
    during(f, () -> list.setDown(true), () -> list.setDown(false));
  }

  private void die(Node n, Fault f) {
    if (n.process.dead() || n.going || (f.forMs() == 0 && !spare())) {
      return;
    }
    VirtualProcess was = n.process;
    was.die();
    listedLater(n, "gone", 300 + f.atMs() % 1000);
    if (f.forMs() > 0) {
      events.in(
          f.forMs() * 1_000_000,
          null,
          () -> {
            if (n.process == was) {
              n.dial = f.kind() == Kind.MOVES ? null : n.dial;
              begin(n, true);
              listed(n, "ready");
            }
          });
    }
  }

  private void vanish(Node n, Fault f) {
    VirtualProcess was = n.process;
    if (was.dead() || n.going || f.forMs() == 0) {
      return;
    }
    was.cutOff(true);
    boolean[] back = {false};
    events.in(
        1_000_000_000L,
        null,
        () -> {
          if (!back[0] && n.process == was && !n.going) {
            listed(n, "gone");
          }
        });
    events.in(
        f.forMs() * 1_000_000,
        null,
        () -> {
          back[0] = true;
          was.cutOff(false);
          if (n.process == was && !was.dead() && !n.going) {
            listed(n, "ready");
          }
        });
  }

  private void drain(Node n) {
    if (n.going || n.process.dead() || n.process.cutOff() || !spare()) {
      return;
    }
    n.going = true;
    VirtualProcess was = n.process;
    listed(n, "draining");
    events.in(1_000_000_000L, null, () -> n.node.drain());
    listedLater(n, "gone", 2500);
    events.in(3_500_000_000L, null, was::die);
  }

  private void grow() {
    Node n = newNode();
    begin(n, true);
    listed(n, "ready");
  }

  private void deploy(Fault f) {
    List<Node> old = nodes.stream().filter(n -> !n.going && !n.process.dead()).toList();
    int count = (int) Math.ceil(old.size() * Math.min(1, f.by()));
    for (int i = 0; i < count; i++) {
      Node n = old.get(i);
      events.in(
          i * Math.max(50, f.forMs() / count) * 1_000_000L,
          null,
          () -> {
            grow();
            drain(n);
          });
    }
  }
}
