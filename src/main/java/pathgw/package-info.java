/** The program's entry point: starts the subcommand that the first argument names. */
package pathgw;
