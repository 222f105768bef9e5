/**
 * Checks whether the production code of the proxy keeps the deployment's rules under faults. It
 * runs scenarios on a virtual network and clock, with faults drawn from a seed; the same seed
 * always gives the same run.
 *
 * <p>{@link pathgw.simulation.SeedRange} is the entry point, used by the command line. If a run
 * violates a rule, its scenario is shrunk to one that is short enough to read. Nothing in this
 * package reads the wall clock or draws random numbers that do not depend on the seed. Only {@code
 * SeedRange} uses threads, one per run. Code that serves requests must not depend on this package.
 */
package pathgw.simulation;
