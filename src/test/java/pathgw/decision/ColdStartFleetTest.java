package pathgw.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The sum of what all proxies send to one cold node, each of them alone with its budget. */
class ColdStartFleetTest {
  private static final int SEEDS = 3;

  private static void keeps(int proxies, boolean even) {
    for (double capacity : new double[] {2, 10, 40}) {
      for (int quietMs : new int[] {0, 4000, 6500}) {
        for (long seed = 0; seed < SEEDS; seed++) {
          double most = ColdStartFleet.play(proxies, capacity, even, quietMs, seed).most();
          assertTrue(
              most <= 1,
              proxies
                  + " proxies, "
                  + capacity
                  + "/s, quiet "
                  + quietMs
                  + " ms, seed "
                  + seed
                  + ": "
                  + most
                  + " of the bound");
        }
      }
    }
  }

  @Test
  void sixProxies() {
    keeps(6, true);
    keeps(6, false);
  }

  @Test
  void twentyAndThirtyProxies() {
    keeps(20, true);
    keeps(30, false);
  }

  /** Saved by each alone, a hundred first ones would all fall due in one moment. */
  @Test
  void hundredAndTwentyProxies() {
    keeps(120, true);
    keeps(120, false);
  }

  @Test
  void withTrafficForItTheColdNodeIsWarmedAllTheSame() {
    int sent = ColdStartFleet.play(30, 10, true, 0, 1).sent();
    assertTrue(sent >= 60, sent + " in its first 8 s, of some 110 that the budget allows");
  }
}
