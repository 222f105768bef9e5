package pathgw.simulation;

import pathgw.net.Outside;

/** Comes between a proxy and its world, so that a test can plant a breach and see it found. */
interface Tamper {
  Tamper NONE = new Tamper() {};

  default Outside outside(Outside honest, int proxy) {
    return honest;
  }

  /** The configuration's text, for a proxy that believes wrongly. */
  default String config(String honest) {
    return honest;
  }
}
