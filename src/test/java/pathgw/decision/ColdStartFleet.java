package pathgw.decision;

import static pathgw.decision.DecisionEngineFixture.ms;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import pathgw.algorithm.RendezvousHash;

/**
 * Simulates a fleet of proxies that do not exchange outcomes, and one node that is warming up. The
 * load that they send to this node together is compared with the load that overloads it: more than
 * N + 2 sqrt(N) + 2 requests within the overload window, where N is what the settings allow at that
 * moment. {@code main} prints the distribution over many seeds.
 */
final class ColdStartFleet {
  /** The id of the node that is warming up. */
  private static final long WARMING_NODE = 1;

  private static final int NODES = 12;
  private static final int STEP_MS = 20;
  private static final int ANSWER_MS = 20;
  private static final int WARM_UP_MS = 8000;
  private static final int OVERLOAD_WINDOW_MS = 2000;
  private static final double WARM_UP_START = 0.4;
  private static final double OVERLOAD_FACTOR = 3;

  /**
   * The outcome of one simulation.
   *
   * @param maxLoad the largest load as a fraction of the load that overloads the node
   * @param sent the number of requests that the node received
   */
  record Result(double maxLoad, int sent) {}

  private ColdStartFleet() {}

  /**
   * Simulates the warm-up of the node. Each proxy sends one request to the node at the start, which
   * creates its budget. Then no key belongs to the node for {@code quietMs}, so that budgets could
   * be saved; after that every key does, at all proxies at the same moment.
   *
   * @param capacity the requests per second that each node gets on average and can handle once it
   *     is warmed up
   * @param even whether all proxies have equal request rates
   */
  static Result simulate(int proxies, double capacity, boolean even, int quietMs, long seed) {
    Random random = new Random(seed);
    double[] rates = new double[proxies];
    for (int p = 0; p < proxies; p++) {
      rates[p] = even ? 1 : 0.2 + 4 * Math.pow(random.nextDouble(), 3);
    }
    double totalRate = Arrays.stream(rates).sum();
    List<DecisionEngineFixture> fixtures = startFleet(proxies, random);
    List<List<long[]>> answersByStep = new ArrayList<>();
    for (int at = 0; at <= WARM_UP_MS / STEP_MS; at++) {
      answersByStep.add(new ArrayList<>());
    }
    int[] sent = new int[WARM_UP_MS / STEP_MS + 1];
    long ids = 0;
    for (int step = 0; step * STEP_MS < WARM_UP_MS; step++) {
      int ms = step * STEP_MS;
      for (DecisionEngineFixture fixture : fixtures) {
        fixture.at(ms);
      }
      for (long[] answered : answersByStep.get(step)) {
        fixtures
            .get((int) answered[0])
            .attemptEnded(answered[1], 0, AttemptOutcome.SERVED, ANSWER_MS);
      }
      boolean first = step == 0;
      boolean burst = ms >= quietMs && ms < quietMs + STEP_MS;
      for (int p = 0; p < proxies; p++) {
        DecisionEngineFixture fixture = fixtures.get(p);
        double expected = rates[p] / totalRate * capacity * NODES * STEP_MS / 1000;
        int arrivals =
            (int) expected
                + (random.nextDouble() < expected % 1 ? 1 : 0)
                + (burst ? 3 : 0)
                + (first ? 1 : 0);
        for (int i = 0; i < arrivals; i++) {
          long id = ++ids;
          int before = fixture.attemptedNodes.size();
          fixture.requestArrived(id, 0, key(random, first || ms >= quietMs), ms + 1000, false);
          fixture.decideAll();
          if (fixture.attemptedNodes.size() > before) {
            sent[step] += fixture.attemptedNodes.get(before) == WARMING_NODE ? 1 : 0;
            answersByStep
                .get(Math.min(answersByStep.size() - 1, step + ANSWER_MS / STEP_MS))
                .add(new long[] {p, id});
          }
          fixture.actions.clear();
          fixture.attemptedNodes.clear();
          fixture.sendTimeLimits.clear();
        }
      }
    }
    return new Result(worstLoad(sent, capacity), Arrays.stream(sent).sum());
  }

  private static List<DecisionEngineFixture> startFleet(int proxies, Random random) {
    List<DecisionEngineFixture> fixtures = new ArrayList<>();
    for (int p = 0; p < proxies; p++) {
      DecisionEngineFixture fixture =
          DecisionEngineFixture.oneOf(proxies, false, random.nextLong(), List.of());
      fixture.withEndpoints(LongStream.rangeClosed(0, NODES).toArray());
      fixture.withEndpointUpdate(WARMING_NODE, EndpointState.READY, Duration.ZERO);
      fixtures.add(fixture);
    }
    return fixtures;
  }

  /** Returns the largest load in any window, as a fraction of the load that overloads the node. */
  private static double worstLoad(int[] sent, double capacity) {
    double maxLoad = 0;
    int window = 0;
    for (int step = 0; step * STEP_MS < WARM_UP_MS; step++) {
      window +=
          sent[step]
              - (step * STEP_MS >= OVERLOAD_WINDOW_MS
                  ? sent[step - OVERLOAD_WINDOW_MS / STEP_MS]
                  : 0);
      double capacityFraction = WARM_UP_START + (1 - WARM_UP_START) * step * STEP_MS / WARM_UP_MS;
      double allowed = OVERLOAD_FACTOR * capacityFraction * capacity * OVERLOAD_WINDOW_MS / 1000;
      maxLoad = Math.max(maxLoad, window / (allowed + 2 * Math.sqrt(allowed) + 2));
    }
    return maxLoad;
  }

  /**
   * Returns a key for which the warming node has the highest score and which it serves from its
   * start, or a key for which another node has the highest score.
   */
  private static long key(Random random, boolean ofWarmingNode) {
    while (true) {
      long key = random.nextLong() | 1;
      byte[] text = Long.toUnsignedString(key).getBytes(java.nio.charset.StandardCharsets.UTF_8);
      long best = Long.MIN_VALUE;
      long first = 0;
      for (long id = 1; id <= NODES; id++) {
        long score = RendezvousHash.score(RendezvousHash.prefix(id), text) ^ Long.MIN_VALUE;
        if (score > best) {
          best = score;
          first = id;
        }
      }
      byte[] hashInput =
          ("1|" + Long.toUnsignedString(key)).getBytes(java.nio.charset.StandardCharsets.UTF_8);
      long kept =
          org.apache.commons.codec.digest.MurmurHash3.hash32x86(hashInput, 0, hashInput.length, 1)
              & 0xffffffffL;
      if ((first == WARMING_NODE) == ofWarmingNode
          && (!ofWarmingNode || kept < WARM_UP_START * 0x1p32)) {
        return key;
      }
    }
  }

  public static void main(String[] args) {
    int seeds = Integer.parseInt(args[0]);
    System.out.println(
        "proxies, capacity, even: median, 99th percentile and maximum load / bound; requests sent");
    for (int proxies : new int[] {6, 20, 30, 120}) {
      for (double capacity : new double[] {2, 10, 40}) {
        for (boolean even : new boolean[] {true, false}) {
          Result[] all =
              LongStream.range(0, seeds)
                  .parallel()
                  .mapToObj(seed -> simulate(proxies, capacity, even, 6500, seed))
                  .toArray(Result[]::new);
          double[] maxLoad = Arrays.stream(all).mapToDouble(Result::maxLoad).sorted().toArray();
          System.out.printf(
              "%d, %.0f/s, %s: %.2f %.2f %.2f; %.1f%n",
              proxies,
              capacity,
              even ? "even" : "uneven",
              maxLoad[seeds / 2],
              maxLoad[seeds * 99 / 100],
              maxLoad[seeds - 1],
              Arrays.stream(all).mapToInt(Result::sent).average().orElse(0));
        }
      }
    }
  }
}
