/**
 * Answers whether one simulation run kept the deployment's rules, and which one it violated first.
 *
 * <p>{@link pathgw.simulation.invariant.InvariantChecker} is the door: the simulation reports to it
 * what clients, proxies, cache nodes and the origin did, and it asks one class a rule. The package
 * knows the virtual world only through {@link pathgw.simulation.invariant.ClusterView}. It never
 * changes the course of a run: it schedules nothing and draws no random numbers.
 */
package pathgw.simulation.invariant;
