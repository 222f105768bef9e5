package pathgw.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import pathgw.simulation.Fault.Kind;
import pathgw.simulation.Scenario.Fleet;

/**
 * Draws a whole script from a seed: the shape, and troubles that come singly, together and over
 * each other.
 */
final class ScenarioGenerator {
  private static final long LASTS = 20_000;

  /** Troubles end by then, so that the run shows whether service comes back. */
  private static final long FAULTS_UNTIL = 11_000;

  private static final int MOST_TOGETHER = 4;

  private final Random chance;

  private ScenarioGenerator(long seed) {
    chance = new Random(seed * 0x9E3779B97F4A7C15L + 1);
  }

  static Scenario scenario(long seed) {
    return new ScenarioGenerator(seed).scenario().with("seed", seed);
  }

  private Scenario scenario() {
    int proxies = 2 + chance.nextInt(1 + chance.nextInt(7));
    int nodes = 4 + chance.nextInt(1 + chance.nextInt(37));
    String[] groups = {"all", "all", "zone", "cell"};
    boolean through = chance.nextInt(3) == 0;
    double rude = chance.nextInt(3) == 0 ? 2 : 0;
    int warmUp = chance.nextInt(16) == 0 ? 6 : chance.nextInt(4) == 0 ? 1 : 0;
    // Few nodes under many requests: only there a cold one is in danger.
    boolean dense = chance.nextInt(4) == 0;
    nodes = dense ? 3 + nodes / 8 : nodes;
    double rate = dense ? 60 + chance.nextInt(80) : 10 + 8 * proxies + chance.nextInt(40);
    Scenario shape =
        new Scenario(
            0,
            LASTS,
            proxies,
            nodes,
            through,
            groups[chance.nextInt(4)],
            100 + 100 * chance.nextInt(10),
            rate,
            20 << chance.nextInt(6),
            chance.nextInt(3) / 2.0,
            rude,
            warmUp,
            (3 + chance.nextInt(6)) / 2.0,
            (3 + chance.nextInt(4)) / 2.0,
            chance.nextInt(3) == 0 ? 160 + chance.nextInt(100) : 1024,
            chance.nextInt(3) == 0 ? 0.5 : 0,
            Scenario.PLAIN.fleet(),
            List.of());
    List<Fault> faults = new ArrayList<>();
    int spells = 1 + chance.nextInt(5);
    for (int i = 0; i < spells; i++) {
      long at = 1000L + chance.nextInt(8000);
      int together = 1 + chance.nextInt(MOST_TOGETHER);
      for (int j = 0; j < together; j++) {
        faults.add(fault(at + chance.nextInt(500), shape));
      }
    }
    return shape.with(faults);
  }

  /** Up to 100 proxies that see some tens of requests a second at most, over up to 200 nodes. */
  static Scenario fleet(long seed) {
    ScenarioGenerator draw = new ScenarioGenerator(seed);
    return (seed % 4 == 3 ? draw.hidden() : draw.fleet()).with("seed", seed);
  }

  /**
   * All watches fall silent within the first seconds, a quarter of the nodes begins to leave right
   * after and goes on serving, and the discovery service can't tell all proxies before that counts
   * as told.
   */
  private Scenario hidden() {
    int proxies = 80 + chance.nextInt(41);
    int nodes = 100 + chance.nextInt(201);
    Scenario shape =
        new Scenario(
            0,
            LASTS,
            proxies,
            nodes,
            false,
            "all",
            200,
            proxies * (4 + chance.nextInt(6)),
            10 * nodes,
            0.7 + chance.nextInt(3) / 10.0,
            0,
            0,
            2 + chance.nextInt(3) / 2.0,
            3,
            512,
            0,
            new Fleet(
                2 + chance.nextInt(4),
                0.5,
                30 + chance.nextInt(30),
                proxies / (5.0 + chance.nextInt(4))),
            List.of());
    long at = 1000L + chance.nextInt(8000);
    List<Fault> faults = new ArrayList<>();
    faults.add(new Fault(at, 0, Kind.LIST_SILENT, -1, 1));
    faults.add(new Fault(at + 100 + chance.nextInt(1500), 0, Kind.LIST_DRAINS, -1, 0.25));
    if (chance.nextBoolean()) {
      faults.add(new Fault(at + 4000, 0, Kind.LIST_DRAINS, -1, 0.1));
    }
    if (chance.nextBoolean()) {
      faults.add(new Fault(at + 1000, 2000, Kind.LIST_REFUSES, -1, 0.3));
    }
    return shape.with(faults);
  }

  private Scenario fleet() {
    int proxies = 60 + chance.nextInt(41);
    int nodes = 80 + chance.nextInt(121);
    int zones = 2 + chance.nextInt(4);
    Scenario shape =
        new Scenario(
            0,
            LASTS,
            proxies,
            nodes,
            false,
            "all",
            200,
            proxies * (3 + chance.nextInt(6)),
            10 * nodes,
            0.7 + chance.nextInt(3) / 10.0,
            0,
            0,
            2 + chance.nextInt(3) / 2.0,
            3,
            512,
            0,
            new Fleet(
                zones, 0.3 + chance.nextInt(6) / 10.0, 16 + chance.nextInt(25), proxies / 6.0),
            List.of());
    long at = 1000L + chance.nextInt(2000);
    List<Fault> faults = new ArrayList<>();
    // Each of these alone would be the hour that everybody talks about; here two meet, and smaller
    // ones.
    for (int i = 0; i < 2; i++) {
      long lasts = 3000L + chance.nextInt(4000);
      faults.add(
          switch (chance.nextInt(6)) {
            case 0 -> herd(at, faults);
            case 1 -> new Fault(at, 5000, Kind.ZONE_LOST, -1, chance.nextInt(zones));
            case 2 -> new Fault(at, 5000, Kind.ZONE_SILENT, -1, chance.nextInt(zones));
            case 3 -> new Fault(at, 7000, Kind.DEPLOY, -1, 0.6);
            case 4 -> new Fault(at + 1000, 0, Kind.LIST_SILENT, -1, 0.4);
            default -> new Fault(at, lasts, Kind.GREED, -1, 3 + chance.nextInt(5));
          });
      at += chance.nextInt(2000);
    }
    for (int i = 0; i < 6; i++) {
      faults.add(fault(1000 + chance.nextInt(6000), shape));
    }
    return shape.with(faults);
  }

  /**
   * Killed together in the middle of a release, half of the times with the list down into its
   * start.
   */
  private Fault herd(long at, List<Fault> faults) {
    if (chance.nextBoolean()) {
      faults.add(new Fault(at, 5000, Kind.LIST_DOWN, -1, 0));
      faults.add(new Fault(at + 3000, 7000, Kind.DEPLOY, -1, 0.5));
    }
    return new Fault(at + 3500, 500 + chance.nextInt(2500), Kind.RESTART, -1, 0.7);
  }

  private Fault fault(long at, Scenario shape) {
    Kind kind = Kind.values()[chance.nextInt(Kind.ANY_FLEET)];
    int target =
        switch (kind.on) {
          case NODE -> chance.nextInt(shape.nodes());
          case PROXY -> chance.nextInt(shape.proxies());
          case WORLD -> -1;
        };
    long lasts = Math.min(200 + chance.nextInt(3000), FAULTS_UNTIL - at);
    double by =
        switch (kind) {
          case SLOW, ORIGIN_SLOW -> 2 + chance.nextInt(12);
          case BURST -> 2 + chance.nextInt(4);
          case GREED -> 3 + chance.nextInt(8);
          case CONNECTS_LATE -> 20 + chance.nextInt(120);
          case LIST_LATE, PEERS_LATE -> 50 + chance.nextInt(3000);
          case DEPLOY -> (3 + chance.nextInt(7)) / 10.0;
          default -> kind.measured ? (1 + chance.nextInt(10)) / 10.0 : 0;
        };
    return new Fault(
        at,
        switch (kind) {
          // A loop that stands still for long has missed all that was due; that is a proxy's death.
          case STANDS_STILL -> 20 + chance.nextInt(600);
          case DIES, MOVES -> chance.nextInt(5) == 0 ? 0 : lasts;
          case DRAINS, FLUSHED, GROWS, LIST_ENDS, HANGUP -> 0;
          default -> lasts;
        },
        kind,
        target,
        by);
  }
}
