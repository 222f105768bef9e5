package pathgw.simulation.cluster;

import pathgw.transport.Transport;

/**
 * Replaces the transport or configuration of a proxy, so that a test can check that the simulation
 * detects a seeded bug.
 */
public interface Mutation {
  /** A mutation that changes nothing. */
  Mutation NONE = new Mutation() {};

  /**
   * Returns the transport that a proxy gets in place of the original one.
   *
   * @param proxy number of the proxy
   */
  default Transport transport(Transport original, int proxy) {
    return original;
  }

  /** Returns the configuration that a proxy gets in place of the original one, as JSON text. */
  default String config(String original) {
    return original;
  }
}
