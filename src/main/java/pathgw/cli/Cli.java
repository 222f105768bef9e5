package pathgw.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The root command of the command line interface. */
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
   * @return the exit status: 0 for success, 1 for a violated rule, 2 for invalid arguments
   */
  public static int run(String[] args) {
    return new CommandLine(new Cli()).execute(args);
  }
}
