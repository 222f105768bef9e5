/**
 * Answers what is played in one simulation run: the shape of the cluster, its load and its faults.
 *
 * <p>A {@link pathgw.simulation.scenario.Scenario} is read from a text, drawn from a seed by {@link
 * pathgw.simulation.scenario.ScenarioGenerator}, and written as a text again. The package only
 * describes; it never runs anything.
 */
package pathgw.simulation.scenario;
