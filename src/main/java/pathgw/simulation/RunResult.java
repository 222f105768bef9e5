package pathgw.simulation;

import java.util.Map;
import pathgw.simulation.invariant.Violation;

/**
 * What became of a run.
 *
 * @param violation the first rule that was broken, or null
 * @param steps things that happened
 * @param service the share of first tries that were served in the last three seconds
 * @param counts how often each trouble, end and answer came
 */
record RunResult(
    Scenario scenario,
    Violation violation,
    long digest,
    long steps,
    long virtualMs,
    double service,
    Map<String, Long> counts) {}
