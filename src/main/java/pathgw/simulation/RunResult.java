package pathgw.simulation;

import java.util.Map;
import pathgw.simulation.invariant.Violation;
import pathgw.simulation.scenario.Scenario;

/**
 * The result of one run.
 *
 * @param scenario what was played
 * @param violation the first violation of a rule, or null
 * @param digest of all events and bytes, in their order
 * @param steps how many events happened
 * @param virtualMs how long the run took in virtual time
 * @param serviceRate the share of first attempts that were served in the last three seconds
 * @param counts how often each kind of fault, end and response came
 */
record RunResult(
    Scenario scenario,
    Violation violation,
    long digest,
    long steps,
    long virtualMs,
    double serviceRate,
    Map<String, Long> counts) {}
