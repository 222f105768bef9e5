/**
 * Provides the virtual clock, event queue, processes and network of one simulation run. Processes
 * can stall or die; the network delays, splits and loses bytes.
 *
 * <p>The proxies and fakes of the simulated cluster run on it. Everything is single-threaded and
 * deterministic: random numbers come from the caller's generator, in a fixed order, and nothing
 * reads the wall clock. The package is independent of requests, cache nodes and scenario faults.
 */
package pathgw.simulation.network;
