package pathgw.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import pathgw.simulation.invariant.RunCounters;

/**
 * Plays many seeds, each wholly on one thread; what comes out is the same however many threads
 * there are.
 */
public final class SeedRange {
  /**
   * What came of a range of seeds.
   *
   * @param failed the outcomes in which a rule was broken, by seed
   * @param digest of all digests, in the order of the seeds
   * @param counts how often each trouble, end and answer came
   * @param service the shares of first tries served after the troubles, of the runs that kept all
   *     rules
   */
  public record Sum(
      long played,
      List<Failure> failed,
      long digest,
      long virtualMs,
      long steps,
      Map<String, Long> counts,
      List<Double> service) {}

  /** A seed that broke a rule, and the small script that breaks it alike. */
  public record Failure(long seed, String breach, String scenario, String shrunk) {}

  private static final int AHEAD = 16;

  private SeedRange() {}

  /**
   * Plays a range of seeds.
   *
   * @param jobs threads
   * @param played hears of each outcome in the order of the seeds: how many so far and how many
   *     failed
   * @param shrink whether failures are shrunk; the first few only
   */
  public static Sum play(long from, long to, int jobs, boolean shrink, Consumer<long[]> played)
      throws InterruptedException {
    return play(from, to, jobs, shrink ? 8 : 0, Mutation.NONE, ScenarioGenerator::scenario, played);
  }

  /** The same of large fleets, which take some hundred times as long. */
  public static Sum fleets(long from, long to, int jobs, boolean shrink, Consumer<long[]> played)
      throws InterruptedException {
    return play(from, to, jobs, shrink ? 1 : 0, Mutation.NONE, ScenarioGenerator::fleet, played);
  }

  static Sum play(
      long from,
      long to,
      int jobs,
      int shrinks,
      Mutation mutation,
      LongFunction<Scenario> draw,
      Consumer<long[]> played)
      throws InterruptedException {
    ExecutorService threads = Executors.newFixedThreadPool(jobs);
    try {
      Deque<Future<RunResult>> ahead = new ArrayDeque<>();
      long next = from;
      long digest = 0;
      long virtualMs = 0;
      long steps = 0;
      long count = 0;
      Map<String, Long> counts = new TreeMap<>();
      List<Double> service = new ArrayList<>();
      List<RunResult> failed = new ArrayList<>();
      while (next <= to || !ahead.isEmpty()) {
        // However many seeds there are, only so many wait for a thread at a time.
        while (next <= to && ahead.size() < jobs * AHEAD) {
          Scenario scenario = draw.apply(next++);
          ahead.add(threads.submit(() -> ScenarioRun.play(scenario, mutation, null)));
        }
        RunResult o = ahead.poll().get();
        digest = Long.rotateLeft(digest * 0x9E3779B97F4A7C15L, 31) ^ o.digest();
        virtualMs += o.virtualMs();
        steps += o.steps();
        count++;
        RunCounters.mergeInto(counts, o.counts());
        if (o.violation() != null) {
          failed.add(o);
        } else {
          service.add(o.service());
        }
        played.accept(new long[] {count, failed.size()});
      }
      List<Future<Failure>> failures = new ArrayList<>();
      for (RunResult o : failed) {
        boolean small = failures.size() < shrinks;
        failures.add(
            threads.submit(
                () ->
                    new Failure(
                        o.scenario().seed(),
                        o.violation().toString(),
                        o.scenario().toString(),
                        small
                            ? ScenarioShrinker.shrink(s -> ScenarioRun.play(s, mutation, null), o)
                                .toString()
                            : "")));
      }
      List<Failure> told = new ArrayList<>();
      for (Future<Failure> f : failures) {
        told.add(f.get());
      }
      return new Sum(count, told, digest, virtualMs, steps, counts, service);
    } catch (ExecutionException e) {
      throw new IllegalStateException("a seed could not be played", e.getCause());
    } finally {
      threads.shutdownNow();
    }
  }

  /** One run, with each line of what happened. @return the breach in words, or null */
  public static String trace(String scenario, Consumer<String> out) {
    RunResult o = ScenarioRun.play(Scenario.read(scenario), Mutation.NONE, out);
    return o.violation() == null ? null : o.violation().toString();
  }

  /** The script that a seed draws. */
  public static String scenario(long seed, boolean fleet) {
    return (fleet ? ScenarioGenerator.fleet(seed) : ScenarioGenerator.scenario(seed)).toString();
  }
}
