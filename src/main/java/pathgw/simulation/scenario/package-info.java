/**
 * Describes the inputs of one simulation run: the shape of the cluster, its load and its faults.
 *
 * <p>A {@link pathgw.simulation.scenario.Scenario} is parsed from a text or drawn from a seed by
 * {@link pathgw.simulation.scenario.ScenarioGenerator}, and can be written as a text. The package
 * only describes scenarios; it does not run them.
 */
package pathgw.simulation.scenario;
