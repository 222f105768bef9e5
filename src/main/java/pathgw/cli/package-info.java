/**
 * The command line, thin: words to calls, results to lines and exit codes. Nothing uses it but
 * {@code Main}.
 */
package pathgw.cli;
