package pathgw.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import pathgw.config.InvalidInputException;
import pathgw.simulation.SeedRange;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Runs the simulation on seeds or on a scenario file and prints the violations. */
@Command(
    name = "simulate",
    mixinStandardHelpOptions = true,
    description =
        "Runs proxies on a virtual network and clock, with faults drawn at random from a seed.")
final class SimulateCommand implements Callable<Integer> {
  private static final int EXIT_OK = 0;
  private static final int EXIT_VIOLATION = 1;
  private static final int MAX_THREADS = 256;

  /** Number of runs between two updates of the progress line on a terminal. */
  private static final int RUNS_PER_PROGRESS_LINE = 50;

  /** The seeds or the scenario to run; exactly one option must be given. */
  private static final class Input {
    @Option(
        names = "--seeds",
        paramLabel = "FROM-TO",
        description = "All seeds of this range, bounds included.")
    private String seeds;

    @Option(names = "--seed", paramLabel = "N", description = "One seed.")
    private Long seed;

    @Option(
        names = "--script",
        paramLabel = "FILE",
        description = "A scenario file, as stored by --keep.")
    private Path scenarioFile;
  }

  @Spec private CommandSpec spec;

  @ArgGroup(multiplicity = "1")
  private Input input;

  @Option(
      names = "--jobs",
      paramLabel = "N",
      description = "Number of threads; by default the number of cores.")
  private int threads = Runtime.getRuntime().availableProcessors();

  @Option(names = "--fleet", description = "Draws fleets of up to 100 proxies and 200 nodes.")
  private boolean fleet;

  @Option(names = "--trace", description = "Prints all events of one run.")
  private boolean trace;

  @Option(
      names = "--counts",
      description = "Prints how often each kind of fault, end and response occurred.")
  private boolean counts;

  @Option(
      names = "--keep",
      paramLabel = "DIR",
      description = "Stores the shrunk scenarios of failed seeds in this directory.")
  private Path keepDirectory;

  @Override
  public Integer call() throws InterruptedException, IOException {
    disableLogging();
    if (threads < 1 || threads > MAX_THREADS) {
      throw usageError("--jobs is " + threads + ", not between 1 and " + MAX_THREADS);
    }
    if (input.seeds != null) {
      return playSeeds();
    }
    if (input.seed != null && input.seed < 0) {
      throw usageError("--seed is " + input.seed + ", but must be 0 or greater");
    }
    return playScenario();
  }

  private int playScenario() {
    String scenario =
        input.seed != null ? SeedRange.scenario(input.seed, fleet) : read(input.scenarioFile);
    try {
      String violation = SeedRange.playScenario(scenario, trace ? System.out::println : null);
      System.out.println(violation == null ? "all rules kept" : scenario + violation);
      return violation == null ? EXIT_OK : EXIT_VIOLATION;
    } catch (InvalidInputException e) {
      throw usageError(input.scenarioFile + ": " + e.getMessage());
    }
  }

  private int playSeeds() throws InterruptedException, IOException {
    SeedBounds bounds = SeedBounds.parse(input.seeds);
    if (bounds == null) {
      throw usageError("--seeds is '" + input.seeds + "', not a range like 0-9999");
    }
    long startNanos = System.nanoTime();
    SeedRange.Result result = play(bounds);
    SeedRangeReport report = new SeedRangeReport(result, System.out);
    report.printFailures(keepDirectory);
    if (counts) {
      report.printCounts();
    }
    report.printTotals(Duration.ofNanos(System.nanoTime() - startNanos));
    return result.failures().isEmpty() ? EXIT_OK : EXIT_VIOLATION;
  }

  private SeedRange.Result play(SeedBounds bounds) throws InterruptedException {
    SeedRange.ProgressListener progress = progressListener(bounds.count());
    return fleet
        ? SeedRange.playFleets(bounds.from(), bounds.to(), threads, true, progress)
        : SeedRange.play(bounds.from(), bounds.to(), threads, true, progress);
  }

  @SuppressWarnings("SystemConsoleNull") // Progress lines are written only to a terminal.
  private SeedRange.ProgressListener progressListener(long count) {
    if (System.console() == null) {
      return SeedRange.ProgressListener.NONE;
    }
    int runsPerProgressLine = fleet ? 1 : RUNS_PER_PROGRESS_LINE;
    return (played, failed) -> {
      if (played % runsPerProgressLine == 0) {
        System.err.printf("\r%d of %d seeds, %d failed ", played, count, failed);
      }
    };
  }

  private String read(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw usageError(file + ": cannot be read: " + e.getMessage());
    }
  }

  /**
   * Disables logging, since the simulated proxies would log thousands of lines whose timestamps are
   * the real time, not that of the simulation.
   */
  private static void disableLogging() {
    LogManager.getLogManager().reset();
    Logger.getLogger("").setLevel(Level.OFF);
  }

  private ParameterException usageError(String message) {
    return new ParameterException(spec.commandLine(), message);
  }
}
