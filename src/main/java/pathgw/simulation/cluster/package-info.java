/**
 * Builds the processes of one simulation run on the virtual network: the proxies, which run their
 * production code, and fakes of the cache nodes, the origin, discovery and the clients.
 *
 * <p>A scenario run creates a {@link pathgw.simulation.cluster.Cluster} and processes its events;
 * fault injection changes the cluster through the lifecycles of nodes, proxies and discovery. The
 * package checks no rules: it reports what happens to the invariant checker.
 */
package pathgw.simulation.cluster;
