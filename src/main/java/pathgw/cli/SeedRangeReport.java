package pathgw.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import pathgw.simulation.SeedRange;

/** Prints the results of a range of seeds; the last line is meant to be parsed by tools. */
final class SeedRangeReport {
  private static final int INDENT_SPACES = 4;
  private static final double MILLIS_PER_SECOND = 1000.0;

  private final SeedRange.Result result;
  private final PrintStream out;

  SeedRangeReport(SeedRange.Result result, PrintStream out) {
    this.result = result;
    this.out = out;
  }

  /**
   * Prints each violation, with its shrunk scenario if it has one.
   *
   * @param directory the directory in which the shrunk scenarios are also stored; null for none
   */
  void printFailures(Path directory) throws IOException {
    for (SeedRange.Failure failure : result.failures()) {
      out.println("seed " + failure.seed() + ": " + failure.violation());
      if (!failure.shrunk().isEmpty()) {
        out.println(failure.shrunk().indent(INDENT_SPACES));
        storeScenario(failure, directory);
      }
    }
  }

  private static void storeScenario(SeedRange.Failure failure, Path directory) throws IOException {
    if (directory != null) {
      Files.createDirectories(directory);
      Files.writeString(
          directory.resolve("seed-" + failure.seed() + ".txt"),
          "# " + failure.violation() + "\n" + failure.shrunk());
    }
  }

  /**
   * Prints all counters, and the distribution of the shares of attempts served at the runs' ends.
   */
  void printCounts() {
    result.counts().forEach((name, value) -> out.printf("%10d  %s%n", value, name));
    List<Double> rates = result.serviceRates().stream().sorted().toList();
    if (!rates.isEmpty()) {
      out.printf(
          Locale.ROOT,
          "service rate at the end: minimum %.3f, 1st percentile %.3f, median %.3f%n",
          rates.get(0),
          rates.get(rates.size() / 100),
          rates.get(rates.size() / 2));
    }
  }

  /** Prints the simulation's speed, and the totals with the digest. */
  void printTotals(Duration elapsed) {
    double seconds = elapsed.toMillis() / MILLIS_PER_SECOND;
    out.printf(
        Locale.ROOT,
        "%.1f seeds/s, %.0f virtual s/s, %d steps%n",
        result.played() / seconds,
        result.virtualMs() / MILLIS_PER_SECOND / seconds,
        result.steps());
    out.printf(
        Locale.ROOT,
        "%d seeds, %d failed, %.1f s, digest %016x%n",
        result.played(),
        result.failures().size(),
        seconds,
        result.digest());
  }
}
