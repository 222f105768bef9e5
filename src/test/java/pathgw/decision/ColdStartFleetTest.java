package pathgw.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Checks the load that all proxies together send to one node that is warming up, while each proxy
 * keeps its own budget.
 */
class ColdStartFleetTest {
  private static final int SEEDS = 3;

  private static void assertBudgetKept(int proxies, boolean even) {
    for (double capacity : new double[] {2, 10, 40}) {
      for (int quietMs : new int[] {0, 4000, 6500}) {
        for (long seed = 0; seed < SEEDS; seed++) {
          double maxLoad =
              ColdStartFleet.simulate(proxies, capacity, even, quietMs, seed).maxLoad();
          assertTrue(
              maxLoad <= 1,
              proxies
                  + " proxies, "
                  + capacity
                  + "/s, quiet "
                  + quietMs
                  + " ms, seed "
                  + seed
                  + ": "
                  + maxLoad
                  + " of the bound");
        }
      }
    }
  }

  @Test
  void sixProxiesKeepSlowStartBudget() {
    assertBudgetKept(6, true);
    assertBudgetKept(6, false);
  }

  @Test
  void twentyAndThirtyProxiesKeepSlowStartBudget() {
    assertBudgetKept(20, true);
    assertBudgetKept(30, false);
  }

  /**
   * Guards against proxies that each save one request for the node and send them all at the same
   * moment.
   */
  @Test
  void hundredAndTwentyProxiesKeepSlowStartBudget() {
    assertBudgetKept(120, true);
    assertBudgetKept(120, false);
  }

  @Test
  void warmingNodeIsSentItsBudget() {
    int sent = ColdStartFleet.simulate(30, 10, true, 0, 1).sent();
    assertTrue(
        sent >= 60, sent + " requests in its first 8 s, of about 110 that the budget allows");
  }
}
