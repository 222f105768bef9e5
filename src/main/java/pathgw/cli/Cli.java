package pathgw.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The root of the command line, for every subcommand but the serving process itself. */
@Command(
    name = "pathgw",
    mixinStandardHelpOptions = true,
    subcommands = SimulateCommand.class,
    description = {
      "A proxy that spreads keys over cache nodes before a slow origin.",
      "Besides the commands below: serve, benchlink, train-archive."
    })
public final class Cli {
  private Cli() {}

  /**
   * Runs one subcommand.
   *
   * @return the exit status: 0 for success, 1 for a violated rule, 2 for invalid use
   */
  public static int run(String[] args) {
    return new CommandLine(new Cli()).execute(args);
  }
}
