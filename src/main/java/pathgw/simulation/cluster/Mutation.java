package pathgw.simulation.cluster;

import pathgw.transport.Transport;

/** Changes what a proxy sees of its world, so that a test can seed a bug and see it found. */
public interface Mutation {
  /** Changes nothing. */
  Mutation NONE = new Mutation() {};

  /** The transport that a proxy gets instead of the original one. */
  default Transport transport(Transport original, int proxy) {
    return original;
  }

  /** The configuration's JSON text that a proxy gets instead of the original one. */
  default String config(String original) {
    return original;
  }
}
