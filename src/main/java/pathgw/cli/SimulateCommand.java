package pathgw.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
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

/** Plays seeds or a script of the simulation and prints what was broken. */
@Command(
    name = "simulate",
    mixinStandardHelpOptions = true,
    description = "Plays the proxy on a virtual network and clock, with troubles drawn from seeds.")
final class SimulateCommand implements Callable<Integer> {
  private static final class What {
    @Option(names = "--seeds", paramLabel = "FROM-TO", description = "All seeds of this range.")
    private String seeds;

    @Option(names = "--seed", paramLabel = "N", description = "One seed.")
    private Long seed;

    @Option(
        names = "--script",
        paramLabel = "FILE",
        description = "A script, as a failing run leaves one.")
    private Path scenario;
  }

  @Spec private CommandSpec spec;

  @ArgGroup(multiplicity = "1")
  private What what;

  @Option(names = "--jobs", paramLabel = "N", description = "Threads; as many as cores by default.")
  private int jobs = Runtime.getRuntime().availableProcessors();

  @Option(names = "--fleet", description = "Seeds draw fleets of up to 100 proxies and 200 nodes.")
  private boolean fleet;

  @Option(names = "--trace", description = "Prints all that happens in one run.")
  private boolean trace;

  @Option(names = "--counts", description = "Prints how often each trouble, end and answer came.")
  private boolean counts;

  @Option(
      names = "--keep",
      paramLabel = "DIR",
      description = "Leaves the shrunk scripts of failing seeds there.")
  private Path keep;

  @Override
  public Integer call() throws InterruptedException, IOException {
    quiet();
    if (jobs < 1 || jobs > 256) {
      throw new ParameterException(spec.commandLine(), "--jobs is not between 1 and 256");
    }
    if (what.seeds != null) {
      return seeds();
    }
    if (what.seed != null && what.seed < 0) {
      throw new ParameterException(spec.commandLine(), "--seed is below 0");
    }
    String scenario =
        what.seed != null ? SeedRange.scenario(what.seed, fleet) : read(what.scenario);
    try {
      String breach = SeedRange.playScenario(scenario, trace ? System.out::println : null);
      System.out.println(breach == null ? "all rules kept" : scenario + breach);
      return breach == null ? 0 : 1;
    } catch (InvalidInputException e) {
      throw new ParameterException(spec.commandLine(), what.scenario + ": " + e.getMessage());
    }
  }

  private String read(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new ParameterException(
          spec.commandLine(), file + ": cannot be read: " + e.getMessage());
    }
  }

  /**
   * What the proxies of a run log would be told thousands of times, with times of day that are not
   * theirs.
   */
  private void quiet() {
    LogManager.getLogManager().reset();
    Logger.getLogger("").setLevel(Level.OFF);
  }

  private int seeds() throws InterruptedException, IOException {
    String[] range = what.seeds.split("-", -1);
    if (range.length != 2
        || !range[0].matches("\\d{1,12}")
        || !range[1].matches("\\d{1,12}")
        || Long.parseLong(range[0]) > Long.parseLong(range[1])
        || Long.parseLong(range[1]) - Long.parseLong(range[0]) > 10_000_000) {
      throw new ParameterException(
          spec.commandLine(), "--seeds is '" + what.seeds + "', not a range like 0-9999");
    }
    long from = Long.parseLong(range[0]);
    long to = Long.parseLong(range[1]);
    long began = System.nanoTime();
    @SuppressWarnings("SystemConsoleNull") // Only that no counting line fills a file.
    boolean terminal = System.console() != null;
    SeedRange.ProgressListener played =
        (done, failed) -> {
          if (terminal && done % (fleet ? 1 : 50) == 0) {
            System.err.printf("\r%d of %d seeds, %d failed ", done, to - from + 1, failed);
          }
        };
    SeedRange.Result sum =
        fleet
            ? SeedRange.playFleets(from, to, jobs, true, played)
            : SeedRange.play(from, to, jobs, true, played);
    for (SeedRange.Failure f : sum.failures()) {
      System.out.println("seed " + f.seed() + ": " + f.violation());
      if (!f.shrunk().isEmpty()) {
        System.out.println(f.shrunk().indent(4));
        if (keep != null) {
          Files.createDirectories(keep);
          Files.writeString(
              keep.resolve("seed-" + f.seed() + ".txt"), "# " + f.violation() + "\n" + f.shrunk());
        }
      }
    }
    if (counts) {
      sum.counts().forEach((kind, n) -> System.out.printf("%10d  %s%n", n, kind));
      List<Double> service = sum.serviceRates().stream().sorted().toList();
      if (!service.isEmpty()) {
        System.out.printf(
            Locale.ROOT,
            "service at the end: least %.3f, 1st percentile %.3f, median %.3f%n",
            service.get(0),
            service.get(service.size() / 100),
            service.get(service.size() / 2));
      }
    }
    double took = Duration.ofNanos(System.nanoTime() - began).toMillis() / 1000.0;
    System.out.printf(
        Locale.ROOT,
        "%.1f seeds/s, %.0f virtual s/s, %d steps%n",
        sum.played() / took,
        sum.virtualMs() / 1000.0 / took,
        sum.steps());
    System.out.printf(
        Locale.ROOT,
        "%d seeds, %d failed, %.1f s, digest %016x%n",
        sum.played(),
        sum.failures().size(),
        took,
        sum.digest());
    return sum.failures().isEmpty() ? 0 : 1;
  }
}
