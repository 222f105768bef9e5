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
import pathgw.simulation.cluster.Mutation;
import pathgw.simulation.invariant.RunCounters;
import pathgw.simulation.scenario.Scenario;
import pathgw.simulation.scenario.ScenarioGenerator;

/**
 * Runs the scenarios of a range of seeds, each run on a single thread.
 *
 * <p>Results are collected in the order of the seeds, so that they do not depend on the number of
 * threads.
 */
public final class SeedRange {
  /**
   * The results of a range of seeds.
   *
   * @param played number of runs
   * @param failures the runs that violated a rule, in the order of the seeds
   * @param digest the combined digests of all runs, in the order of the seeds
   * @param virtualMs total virtual time of all runs, in milliseconds
   * @param steps total number of events of all runs
   * @param counts how often each kind of event and fault occurred, by its name
   * @param serviceRates for each run without violation, the share of first attempts served at its
   *     end
   */
  public record Result(
      long played,
      List<Failure> failures,
      long digest,
      long virtualMs,
      long steps,
      Map<String, Long> counts,
      List<Double> serviceRates) {}

  /**
   * A run that violated a rule.
   *
   * @param seed the seed of the run
   * @param violation description of the violation
   * @param scenario text of the scenario drawn from the seed
   * @param shrunk text of a small scenario with the same violation; empty if it was not shrunk
   */
  public record Failure(long seed, String violation, String scenario, String shrunk) {}

  /** Receives the progress through a range of seeds. */
  public interface ProgressListener {
    /** A listener that does nothing. */
    ProgressListener NONE = (played, failed) -> {};

    /**
     * Called after each run, in the order of the seeds.
     *
     * @param played number of runs so far
     * @param failed number of runs so far that violated a rule
     */
    void runEnded(long played, long failed);
  }

  /** How many runs per thread are submitted ahead of the run whose result is awaited. */
  private static final int RUNS_AHEAD_PER_THREAD = 16;

  /** How many failures of small clusters are shrunk. */
  private static final int MAX_SHRUNK_SCENARIOS = 8;

  /**
   * How many failures of large fleets are shrunk: their runs take about a hundred times as long as
   * those of small clusters.
   */
  private static final int MAX_SHRUNK_FLEETS = 1;

  private static final long DIGEST_MULTIPLIER = 0x9E3779B97F4A7C15L;
  private static final int DIGEST_ROTATION = 31;

  private final Mutation mutation;
  private final int threads;
  private final ProgressListener progress;
  private final Map<String, Long> counts = new TreeMap<>();
  private final List<Double> serviceRates = new ArrayList<>();
  private final List<RunResult> failed = new ArrayList<>();
  private long played;
  private long digest;
  private long virtualMs;
  private long steps;

  private SeedRange(Mutation mutation, int threads, ProgressListener progress) {
    this.mutation = mutation;
    this.threads = threads;
    this.progress = progress;
  }

  /**
   * Runs the scenarios of small clusters for a range of seeds.
   *
   * @param from the first seed
   * @param to the last seed, included
   * @param shrink whether the scenarios of the first few failures are shrunk
   */
  public static Result play(
      long from, long to, int threads, boolean shrink, ProgressListener progress)
      throws InterruptedException {
    return new SeedRange(Mutation.NONE, threads, progress)
        .play(from, to, ScenarioGenerator::scenario, shrink ? MAX_SHRUNK_SCENARIOS : 0);
  }

  /** Runs the scenarios of large fleets for a range of seeds; see {@link #play}. */
  public static Result playFleets(
      long from, long to, int threads, boolean shrink, ProgressListener progress)
      throws InterruptedException {
    return new SeedRange(Mutation.NONE, threads, progress)
        .play(from, to, ScenarioGenerator::fleet, shrink ? MAX_SHRUNK_FLEETS : 0);
  }

  /**
   * Runs one scenario.
   *
   * @param scenario text of the scenario
   * @param traceConsumer receives a line for each event; null for no trace
   * @return description of the violation, or null if all rules were kept
   */
  public static String playScenario(String scenario, Consumer<String> traceConsumer) {
    RunResult result = ScenarioRun.play(Scenario.parse(scenario), Mutation.NONE, traceConsumer);
    return result.violation() == null ? null : result.violation().toString();
  }

  /**
   * Returns the text of the scenario drawn from a seed.
   *
   * @param fleet whether to draw a large fleet
   */
  public static String scenario(long seed, boolean fleet) {
    Scenario scenario = fleet ? ScenarioGenerator.fleet(seed) : ScenarioGenerator.scenario(seed);
    return scenario.toString();
  }

  private Result play(long from, long to, LongFunction<Scenario> generator, int maxShrunk)
      throws InterruptedException {
    ExecutorService executor = Executors.newFixedThreadPool(threads);
    try {
      playAll(executor, from, to, generator);
      List<Failure> failures = describeFailures(executor, maxShrunk);
      return new Result(played, failures, digest, virtualMs, steps, counts, serviceRates);
    } catch (ExecutionException e) {
      throw new IllegalStateException("the run of a seed threw an exception", e.getCause());
    } finally {
      executor.shutdownNow();
    }
  }

  private void playAll(
      ExecutorService executor, long from, long to, LongFunction<Scenario> generator)
      throws InterruptedException, ExecutionException {
    Deque<Future<RunResult>> pending = new ArrayDeque<>();
    long nextSeed = from;
    while (nextSeed <= to || !pending.isEmpty()) {
      // Limits the number of pending runs, so that a large range does not queue all its scenarios.
      while (nextSeed <= to && pending.size() < threads * RUNS_AHEAD_PER_THREAD) {
        Scenario scenario = generator.apply(nextSeed++);
        pending.add(executor.submit(() -> ScenarioRun.play(scenario, mutation, null)));
      }
      add(pending.poll().get());
      progress.runEnded(played, failed.size());
    }
  }

  private void add(RunResult result) {
    digest = Long.rotateLeft(digest * DIGEST_MULTIPLIER, DIGEST_ROTATION) ^ result.digest();
    virtualMs += result.virtualMs();
    steps += result.steps();
    played++;
    RunCounters.mergeInto(counts, result.counts());
    if (result.violation() != null) {
      failed.add(result);
    } else {
      serviceRates.add(result.serviceRate());
    }
  }

  private List<Failure> describeFailures(ExecutorService executor, int maxShrunk)
      throws InterruptedException, ExecutionException {
    List<Future<Failure>> pending = new ArrayList<>();
    for (RunResult result : failed) {
      boolean shrink = pending.size() < maxShrunk;
      pending.add(executor.submit(() -> describe(result, shrink)));
    }
    List<Failure> failures = new ArrayList<>();
    for (Future<Failure> failure : pending) {
      failures.add(failure.get());
    }
    return failures;
  }

  private Failure describe(RunResult result, boolean shrink) {
    String shrunk = shrink ? ScenarioShrinker.shrink(result, mutation).toString() : "";
    return new Failure(
        result.scenario().seed(),
        result.violation().toString(),
        result.scenario().toString(),
        shrunk);
  }
}
