/**
 * Checks whether one simulation run kept the deployment's rules, and which one it violated first.
 *
 * <p>{@link pathgw.simulation.invariant.InvariantChecker} is the entry point: the simulation
 * reports to it what clients, proxies, cache nodes and the origin did, and it delegates to one
 * class per rule. The package reads the simulated cluster only through {@link
 * pathgw.simulation.invariant.ClusterView}. It never influences a run: it schedules no events and
 * draws no random numbers.
 */
package pathgw.simulation.invariant;
