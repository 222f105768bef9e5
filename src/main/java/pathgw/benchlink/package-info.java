/**
 * Runs instances of the decision engine on the simulator's wire: batches of events on standard
 * input, one reply of actions for each batch on standard output.
 *
 * <p>{@link pathgw.benchlink.BenchLink} is the only entry point; the {@code benchlink} subcommand
 * calls it. The package translates records to calls of {@link pathgw.decision.DecisionEngine} and
 * back. It decides nothing itself, reads no clock and shares no state between instances. The record
 * and field names of the wire's page appear only here.
 */
package pathgw.benchlink;
