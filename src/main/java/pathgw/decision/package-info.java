/**
 * Decides for one proxy which node a request is sent to, whether it is retried, and whether it is
 * admitted or rejected. {@link pathgw.decision.DecisionEngine} is the entry point. {@code
 * pathgw.driver} and the bench adapter call it from one thread and carry out its decisions, which
 * it passes to {@link pathgw.decision.DecisionSink}. The package performs no I/O, reads no clock
 * and starts no system timers.
 */
package pathgw.decision;
