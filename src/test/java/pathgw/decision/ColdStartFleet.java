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
  private static final long COLD = 1;
  private static final int NODES = 12;
  private static final int STEP_MS = 20;
  private static final int ANSWER_MS = 20;
  private static final int COLD_MS = 8000;
  private static final int FALL_MS = 2000;
  private static final double COLD_FROM = 0.4;
  private static final double MULTIPLE = 3;

  /**
   * @param most the worst load, as a part of what overloads the node
   * @param sent requests that it got in all
   */
  record Result(double most, int sent) {}

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
    for (int at = 0; at <= COLD_MS / STEP_MS; at++) {
      answersByStep.add(new ArrayList<>());
    }
    int[] sent = new int[COLD_MS / STEP_MS + 1];
    long ids = 0;
    for (int step = 0; step * STEP_MS < COLD_MS; step++) {
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
            sent[step] += fixture.attemptedNodes.get(before) == COLD ? 1 : 0;
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
      fixture.withEndpointUpdate(COLD, EndpointState.READY, Duration.ZERO);
      fixtures.add(fixture);
    }
    return fixtures;
  }

  /** The largest load in any window, as a part of what overloads the warming node. */
  private static double worstLoad(int[] sent, double capacity) {
    double most = 0;
    int window = 0;
    for (int step = 0; step * STEP_MS < COLD_MS; step++) {
      window += sent[step] - (step * STEP_MS >= FALL_MS ? sent[step - FALL_MS / STEP_MS] : 0);
      double capacityFraction = COLD_FROM + (1 - COLD_FROM) * step * STEP_MS / COLD_MS;
      double n = MULTIPLE * capacityFraction * capacity * FALL_MS / 1000;
      most = Math.max(most, window / (n + 2 * Math.sqrt(n) + 2));
    }
    return most;
  }

  /** A key that the warming node has the highest score for and keeps; or one that is another's. */
  private static long key(Random random, boolean ofCold) {
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
      byte[] barred =
          ("1|" + Long.toUnsignedString(key)).getBytes(java.nio.charset.StandardCharsets.UTF_8);
      long kept =
          org.apache.commons.codec.digest.MurmurHash3.hash32x86(barred, 0, barred.length, 1)
              & 0xffffffffL;
      if ((first == COLD) == ofCold && (!ofCold || kept < COLD_FROM * 0x1p32)) {
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
          double[] most = Arrays.stream(all).mapToDouble(Result::most).sorted().toArray();
          System.out.printf(
              "%d, %.0f/s, %s: %.2f %.2f %.2f; %.1f%n",
              proxies,
              capacity,
              even ? "even" : "uneven",
              most[seeds / 2],
              most[seeds * 99 / 100],
              most[seeds - 1],
              Arrays.stream(all).mapToInt(Result::sent).average().orElse(0));
        }
      }
    }
  }
}
