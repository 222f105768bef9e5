/**
 * Answers whether the unchanged proxy keeps the deployment's rules under faults: it plays scenarios
 * on a virtual network and clock, with faults drawn from a seed, exactly the same each time.
 *
 * <p>{@link pathgw.simulation.SeedRange} is the door, called by the command line. A run that
 * violates a rule is shrunk to a scenario that a person can read. Nothing here reads the wall clock
 * or draws a random number that no seed gave, and only {@code SeedRange} uses threads, one for a
 * whole run; nothing that serves may depend on this package.
 */
package pathgw.simulation;
