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
 * A fleet of proxies, which do not hear of each other, before one node that warms up. What they
 * send it together is compared with what overloads it: more than N + 2 sqrt(N) + 2 requests in the
 * stated time, N being what the settings allow at that moment. {@code main} prints the distribution
 * over many seeds.
 */
final class ColdStartFleet {
  private static final long WARMING_NODE = 1;
  private static final int NODES = 12;
  private static final int STEP_MS = 20;
  private static final int ANSWER_MS = 20;
  private static final int WARM_UP_MS = 8000;
  private static final int OVERLOAD_WINDOW_MS = 2000;
  private static final double WARM_UP_START = 0.4;
  private static final double OVERLOAD_FACTOR = 3;

  /**
   * @param maxLoad the worst load, as a part of what overloads the node
   * @param sent requests that it got in all
   */
  record Result(double maxLoad, int sent) {}

  private ColdStartFleet() {}

  /**
   * Each proxy sends the warming node one request at the start, which begins its budget. Then no
   * key is the node's for {@code quietMs}, so that budgets may be saved up; after that every key
   * is, at all proxies at the same moment.
   *
   * @param capacity requests a second that each warm node has here, as many as it can bear
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

  /** The largest load in any window, as a part of what overloads the warming node. */
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

  /** A key that the warming node has the highest score for and keeps; or one that is another's. */
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
        "proxies, capacity, even: median, 99th percentile and most of the bound; sent");
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
