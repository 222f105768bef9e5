/**
 * Runs instances of the decision engine for an external simulator, which sends batches of events on
 * standard input and receives one reply with actions per batch on standard output.
 *
 * <p>{@link pathgw.benchlink.BenchLink} is the only entry point; the {@code benchlink} subcommand
 * calls it. The package translates records to calls of {@link pathgw.decision.DecisionEngine} and
 * back. It makes no decisions itself, reads no clock and shares no state between instances. The
 * record and field names of the simulator's wire format appear only here.
 */
package pathgw.benchlink;
