/**
 * The command line interface: parses arguments, and turns results into output and exit statuses.
 *
 * <p>Only {@code pathgw.Main} calls it, through {@link pathgw.cli.Cli}, for all arguments that
 * {@code Main} does not handle itself. It contains no logic beyond that, and no other package may
 * depend on it.
 */
package pathgw.cli;
