/**
 * Answers the command line: it turns arguments into calls, and results into lines and exit
 * statuses.
 *
 * <p>Only {@code pathgw.Main} calls it, through {@link pathgw.cli.Cli}, for every subcommand but
 * the serving process itself. It holds no logic of its own and nothing may depend on it.
 */
package pathgw.cli;
