package pathgw.simulation;

import java.util.Map;
import pathgw.simulation.invariant.Violation;
import pathgw.simulation.scenario.Scenario;

/**
 * The result of one run.
 *
 * @param scenario the scenario that was run
 * @param violation the first violation of a rule, or null
 * @param digest the digest of all events and of all bytes that arrived, in their order
 * @param steps number of events
 * @param virtualMs virtual time that the run took, in milliseconds
 * @param serviceRate the share of first attempts served in the last three seconds of the load
 * @param counts how often each kind of event and fault occurred, by its name
 */
record RunResult(
    Scenario scenario,
    Violation violation,
    long digest,
    long steps,
    long virtualMs,
    double serviceRate,
    Map<String, Long> counts) {}
