package pathgw.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** All commands that are not the serving process itself. */
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
   * @return 0 for done, 1 for a rule broken, 2 for bad use
   */
  public static int run(String[] args) {
    return new CommandLine(new Cli()).execute(args);
  }
}
