package pathgw.decision;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import pathgw.algorithm.RendezvousHash;

/**
 * A fleet of modules before one cold node, none of which hears of the others. What the node gets
 * from all of them together is held against what pushes it over: more than N + 2 x root of N + 2 in
 * the stated time, N being what the settings allow it at that moment. {@code main} prints the
 * distribution over many seeds.
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
   * @param most of what pushes the node over it had in the worst moment
   * @param sent to it in all
   */
  record Played(double most, int sent) {}

  private ColdStartFleet() {}

  /**
   * Each proxy meets the cold node once at the start, which begins its budget. Then for so long no
   * key is the cold node's, and whatever may be saved is; after that every key is, at all proxies
   * in one moment.
   *
   * @param capacity requests a second that each warm node has here, as many as it can bear
   */
  static Played play(int proxies, double capacity, boolean even, int quietMs, long seed) {
    Random chance = new Random(seed);
    double[] rates = new double[proxies];
    for (int p = 0; p < proxies; p++) {
      rates[p] = even ? 1 : 0.2 + 4 * Math.pow(chance.nextDouble(), 3);
    }
    double all = Arrays.stream(rates).sum();
    List<DecisionEngineFixture> beds = new ArrayList<>();
    for (int p = 0; p < proxies; p++) {
      DecisionEngineFixture fixture =
          DecisionEngineFixture.oneOf(proxies, false, chance.nextLong(), List.of());
      fixture.list(LongStream.rangeClosed(0, NODES).toArray());
      fixture.change(COLD, EndpointState.READY, Duration.ZERO);
      beds.add(fixture);
    }
    List<List<long[]>> out = new ArrayList<>();
    for (int at = 0; at <= COLD_MS / STEP_MS; at++) {
      out.add(new ArrayList<>());
    }
    int[] sent = new int[COLD_MS / STEP_MS + 1];
    long ids = 0;
    for (int step = 0; step * STEP_MS < COLD_MS; step++) {
      int ms = step * STEP_MS;
      for (DecisionEngineFixture fixture : beds) {
        fixture.at(ms);
      }
      for (long[] answered : out.get(step)) {
        beds.get((int) answered[0]).attemptEnded(answered[1], 0, AttemptOutcome.SERVED, ANSWER_MS);
      }
      boolean first = step == 0;
      boolean moment = ms >= quietMs && ms < quietMs + STEP_MS;
      for (int p = 0; p < proxies; p++) {
        DecisionEngineFixture fixture = beds.get(p);
        double due = rates[p] / all * capacity * NODES * STEP_MS / 1000;
        int come =
            (int) due
                + (chance.nextDouble() < due % 1 ? 1 : 0)
                + (moment ? 3 : 0)
                + (first ? 1 : 0);
        for (int i = 0; i < come; i++) {
          long id = ++ids;
          int before = fixture.sentTo.size();
          fixture.decide.requestArrived(
              id,
              0,
              0,
              key(chance, first || ms >= quietMs),
              DecisionEngineFixture.ms(ms + 1000),
              Duration.ZERO,
              false,
              false);
          fixture.pull();
          if (fixture.sentTo.size() > before) {
            sent[step] += fixture.sentTo.get(before) == COLD ? 1 : 0;
            out.get(Math.min(out.size() - 1, step + ANSWER_MS / STEP_MS)).add(new long[] {p, id});
          }
          fixture.said.clear();
          fixture.sentTo.clear();
          fixture.mostToSend.clear();
        }
      }
    }
    double most = 0;
    int window = 0;
    for (int step = 0; step * STEP_MS < COLD_MS; step++) {
      window += sent[step] - (step * STEP_MS >= FALL_MS ? sent[step - FALL_MS / STEP_MS] : 0);
      double warmth = COLD_FROM + (1 - COLD_FROM) * step * STEP_MS / COLD_MS;
      double n = MULTIPLE * warmth * capacity * FALL_MS / 1000;
      most = Math.max(most, window / (n + 2 * Math.sqrt(n) + 2));
    }
    return new Played(most, Arrays.stream(sent).sum());
  }

  /**
   * One whose highest score is the cold node's, which keeps it from its first moment on; or
   * another's.
   */
  private static long key(Random chance, boolean ofCold) {
    while (true) {
      long key = chance.nextLong() | 1;
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
          Played[] all =
              LongStream.range(0, seeds)
                  .parallel()
                  .mapToObj(seed -> play(proxies, capacity, even, 6500, seed))
                  .toArray(Played[]::new);
          double[] most = Arrays.stream(all).mapToDouble(Played::most).sorted().toArray();
          System.out.printf(
              "%d, %.0f/s, %s: %.2f %.2f %.2f; %.1f%n",
              proxies,
              capacity,
              even ? "even" : "uneven",
              most[seeds / 2],
              most[seeds * 99 / 100],
              most[seeds - 1],
              Arrays.stream(all).mapToInt(Played::sent).average().orElse(0));
        }
      }
    }
  }
}
