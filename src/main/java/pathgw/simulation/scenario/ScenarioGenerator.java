package pathgw.simulation.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import pathgw.simulation.scenario.Fault.Kind;
import pathgw.simulation.scenario.Scenario.Fleet;

/**
 * Draws a whole scenario from a seed: the shape of the cluster, and faults that come alone, at the
 * same time or overlapping.
 *
 * <p>The draws and their order must not change, so that a seed always gives the same scenario.
 */
public final class ScenarioGenerator {
  /** Spreads consecutive seeds over the states of the random generator. */
  private static final long SEED_MULTIPLIER = 0x9E3779B97F4A7C15L;

  private static final long DURATION_MS = 20_000;

  /**
   * The latest end of temporary faults, so that the rest of the run shows whether service recovers.
   */
  private static final long MAX_FAULT_END_MS = 11_000;

  private static final int MAX_CONCURRENT_FAULTS = 4;

  /** Every fourth seed draws a fleet in which all watches fall silent. */
  private static final int SEEDS_PER_SILENT_WATCH_FLEET = 4;

  private final Random random;

  private ScenarioGenerator(long seed) {
    random = new Random(seed * SEED_MULTIPLIER + 1);
  }

  /** Draws a small cluster with faults of any kind. */
  public static Scenario scenario(long seed) {
    return new ScenarioGenerator(seed).smallCluster().with(ScenarioParameter.SEED, seed);
  }

  private Scenario smallCluster() {
    int proxies = 2 + random.nextInt(1 + random.nextInt(7));
    int nodes = 4 + random.nextInt(1 + random.nextInt(37));
    String[] dedupScopes = {"all", "all", "zone", "cell"};
    boolean readThrough = random.nextInt(3) == 0;
    double invalidClients = random.nextInt(3) == 0 ? 2 : 0;
    int warmUpRounds = random.nextInt(16) == 0 ? 6 : random.nextInt(4) == 0 ? 1 : 0;
    // Few nodes under many requests: cold nodes can be overloaded only in such clusters.
    boolean highLoadPerNode = random.nextInt(4) == 0;
    nodes = highLoadPerNode ? 3 + nodes / 8 : nodes;
    double rate = highLoadPerNode ? 60 + random.nextInt(80) : 10 + 8 * proxies + random.nextInt(40);
    Scenario shape =
        new Scenario(
            /* seed= */ 0,
            DURATION_MS,
            proxies,
            nodes,
            readThrough,
            /* dedupScope= */ dedupScopes[random.nextInt(4)],
            /* dedupWindowMs= */ 100 + 100 * random.nextInt(10),
            rate,
            /* keys= */ 20 << random.nextInt(6),
            /* zipfExponent= */ random.nextInt(3) / 2.0,
            invalidClients,
            warmUpRounds,
            /* capacityFactor= */ (3 + random.nextInt(6)) / 2.0,
            /* coldCrashMultiple= */ (3 + random.nextInt(4)) / 2.0,
            /* maxDescriptors= */ random.nextInt(3) == 0 ? 160 + random.nextInt(100) : 1024,
            /* idleClientShare= */ random.nextInt(3) == 0 ? 0.5 : 0,
            /* fleet= */ Scenario.DEFAULTS.fleet(),
            List.of());
    List<Fault> faults = new ArrayList<>();
    int episodes = 1 + random.nextInt(5);
    for (int i = 0; i < episodes; i++) {
      long at = 1000L + random.nextInt(8000);
      int concurrent = 1 + random.nextInt(MAX_CONCURRENT_FAULTS);
      for (int j = 0; j < concurrent; j++) {
        faults.add(anyFault(at + random.nextInt(500), shape));
      }
    }
    return shape.withFaults(faults);
  }

  /**
   * Draws a fleet of 60 to 120 proxies, each with at most tens of requests per second, and 80 to
   * 300 nodes.
   */
  public static Scenario fleet(long seed) {
    ScenarioGenerator generator = new ScenarioGenerator(seed);
    Scenario drawn =
        seed % SEEDS_PER_SILENT_WATCH_FLEET == SEEDS_PER_SILENT_WATCH_FLEET - 1
            ? generator.fleetWithSilentWatches()
            : generator.largeFleet();
    return drawn.with(ScenarioParameter.SEED, seed);
  }

  /**
   * Draws a fleet in which all watches fall silent early in the run. Shortly afterwards a quarter
   * of the nodes is listed as draining but continues to serve. Discovery cannot answer the polls of
   * all proxies before they count as notified.
   */
  private Scenario fleetWithSilentWatches() {
    int proxies = 80 + random.nextInt(41);
    int nodes = 100 + random.nextInt(201);
    Scenario shape =
        new Scenario(
            /* seed= */ 0,
            DURATION_MS,
            proxies,
            nodes,
            /* readThrough= */ false,
            /* dedupScope= */ "all",
            /* dedupWindowMs= */ 200,
            /* requestsPerSecond= */ proxies * (4 + random.nextInt(6)),
            /* keys= */ 10 * nodes,
            /* zipfExponent= */ 0.7 + random.nextInt(3) / 10.0,
            /* invalidClientsPerSecond= */ 0,
            /* warmUpRounds= */ 0,
            /* capacityFactor= */ 2 + random.nextInt(3) / 2.0,
            /* coldCrashMultiple= */ 3,
            /* maxDescriptors= */ 512,
            /* idleClientShare= */ 0,
            new Fleet(
                /* zones= */ 2 + random.nextInt(4),
                /* trafficSkew= */ 0.5,
                /* maxConnectionsPerNode= */ 30 + random.nextInt(30),
                /* discoveryCallsPerSecond= */ proxies / (5.0 + random.nextInt(4))),
            List.of());
    long at = 1000L + random.nextInt(8000);
    List<Fault> faults = new ArrayList<>();
    faults.add(new Fault(at, 0, Kind.LIST_SILENT, Fault.NO_TARGET, 1));
    faults.add(
        new Fault(at + 100 + random.nextInt(1500), 0, Kind.LIST_DRAINS, Fault.NO_TARGET, 0.25));
    if (random.nextBoolean()) {
      faults.add(new Fault(at + 4000, 0, Kind.LIST_DRAINS, Fault.NO_TARGET, 0.1));
    }
    if (random.nextBoolean()) {
      faults.add(new Fault(at + 1000, 2000, Kind.LIST_REFUSES, Fault.NO_TARGET, 0.3));
    }
    return shape.withFaults(faults);
  }

  private Scenario largeFleet() {
    int proxies = 60 + random.nextInt(41);
    int nodes = 80 + random.nextInt(121);
    int zones = 2 + random.nextInt(4);
    Scenario shape =
        new Scenario(
            /* seed= */ 0,
            DURATION_MS,
            proxies,
            nodes,
            /* readThrough= */ false,
            /* dedupScope= */ "all",
            /* dedupWindowMs= */ 200,
            /* requestsPerSecond= */ proxies * (3 + random.nextInt(6)),
            /* keys= */ 10 * nodes,
            /* zipfExponent= */ 0.7 + random.nextInt(3) / 10.0,
            /* invalidClientsPerSecond= */ 0,
            /* warmUpRounds= */ 0,
            /* capacityFactor= */ 2 + random.nextInt(3) / 2.0,
            /* coldCrashMultiple= */ 3,
            /* maxDescriptors= */ 512,
            /* idleClientShare= */ 0,
            new Fleet(
                zones,
                /* trafficSkew= */ 0.3 + random.nextInt(6) / 10.0,
                /* maxConnectionsPerNode= */ 16 + random.nextInt(25),
                /* discoveryCallsPerSecond= */ proxies / 6.0),
            List.of());
    long at = 1000L + random.nextInt(2000);
    List<Fault> faults = new ArrayList<>();
    // Each of these faults alone would be a large incident; two of them coincide with smaller
    // faults.
    for (int i = 0; i < 2; i++) {
      long durationMs = 3000L + random.nextInt(4000);
      faults.add(
          switch (random.nextInt(6)) {
            case 0 -> massRestart(at, faults);
            case 1 -> new Fault(at, 5000, Kind.ZONE_LOST, Fault.NO_TARGET, random.nextInt(zones));
            case 2 -> new Fault(at, 5000, Kind.ZONE_SILENT, Fault.NO_TARGET, random.nextInt(zones));
            case 3 -> new Fault(at, 7000, Kind.DEPLOY, Fault.NO_TARGET, 0.6);
            case 4 -> new Fault(at + 1000, 0, Kind.LIST_SILENT, Fault.NO_TARGET, 0.4);
            default ->
                new Fault(at, durationMs, Kind.GREED, Fault.NO_TARGET, 3 + random.nextInt(5));
          });
      at += random.nextInt(2000);
    }
    for (int i = 0; i < 6; i++) {
      faults.add(anyFault(1000 + random.nextInt(6000), shape));
    }
    return shape.withFaults(faults);
  }

  /**
   * Draws the restart of many proxies, in half of the cases during a deployment and while discovery
   * is down.
   */
  private Fault massRestart(long at, List<Fault> faults) {
    if (random.nextBoolean()) {
      faults.add(new Fault(at, 5000, Kind.LIST_DOWN, Fault.NO_TARGET, 0));
      faults.add(new Fault(at + 3000, 7000, Kind.DEPLOY, Fault.NO_TARGET, 0.5));
    }
    return new Fault(at + 3500, 500 + random.nextInt(2500), Kind.RESTART, Fault.NO_TARGET, 0.7);
  }

  private Fault anyFault(long at, Scenario shape) {
    Kind kind = Kind.values()[random.nextInt(Kind.GENERAL_KIND_COUNT)];
    int target =
        switch (kind.scope()) {
          case NODE -> random.nextInt(shape.nodes());
          case PROXY -> random.nextInt(shape.proxies());
          case CLUSTER -> Fault.NO_TARGET;
        };
    long durationMs = Math.min(200 + random.nextInt(3000), MAX_FAULT_END_MS - at);
    double magnitude =
        switch (kind) {
          case SLOW, ORIGIN_SLOW -> 2 + random.nextInt(12);
          case BURST -> 2 + random.nextInt(4);
          case GREED -> 3 + random.nextInt(8);
          case CONNECTS_LATE -> 20 + random.nextInt(120);
          case LIST_LATE, PEERS_LATE -> 50 + random.nextInt(3000);
          case DEPLOY -> (3 + random.nextInt(7)) / 10.0;
          default -> kind.requiresMagnitude() ? (1 + random.nextInt(10)) / 10.0 : 0;
        };
    return new Fault(
        at,
        switch (kind) {
          // A loop that stalls for longer misses all deadlines, which has the same effect as a
          // killed proxy.
          case STANDS_STILL -> 20 + random.nextInt(600);
          case DIES, MOVES -> random.nextInt(5) == 0 ? 0 : durationMs;
          case DRAINS, FLUSHED, GROWS, LIST_ENDS, HANGUP -> 0;
          default -> durationMs;
        },
        kind,
        target,
        magnitude);
  }
}
