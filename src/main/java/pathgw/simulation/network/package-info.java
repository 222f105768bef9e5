/**
 * Answers what happens when in one simulation run: a virtual clock, an event queue, processes that
 * can stall or die, and a network that delays, splits and loses bytes.
 *
 * <p>The simulated cluster runs its proxies and fakes on it. Everything is single-threaded and
 * deterministic: random numbers come from the caller's generator, in a fixed order, and nothing
 * reads the wall clock. The package knows nothing of requests, nodes or faults.
 */
package pathgw.simulation.network;
