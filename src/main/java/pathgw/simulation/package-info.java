/**
 * Whole hours in milliseconds, exactly the same each time: the unchanged network code and module on
 * a virtual network and clock, against the stand-ins, with faults drawn from a seed. A referee that
 * sees everything checks the rules after every step; a run that breaks one is shrunk to a script
 * that a person can read. Nothing here reads the wall clock, draws chance that no seed gave, or
 * uses threads within a run; nothing that serves may use it.
 */
package pathgw.simulation;
