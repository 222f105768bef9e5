/**
 * Answers what runs in one simulation: the proxies, unchanged, with the fakes of cache nodes,
 * origin, discovery and clients, each as a process of the virtual network.
 *
 * <p>A scenario run builds a {@link pathgw.simulation.cluster.Cluster} and lets its events happen;
 * fault injection changes it through the life cycles of nodes, proxies and discovery. The package
 * judges nothing: what happens is reported to the invariant checker.
 */
package pathgw.simulation.cluster;
