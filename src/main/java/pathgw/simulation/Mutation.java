package pathgw.simulation;

import pathgw.transport.Transport;

/** Comes between a proxy and its world, so that a test can plant a breach and see it found. */
interface Mutation {
  Mutation NONE = new Mutation() {};

  default Transport transport(Transport honest, int proxy) {
    return honest;
  }

  /** The configuration's text, for a proxy that believes wrongly. */
  default String config(String honest) {
    return honest;
  }
}
