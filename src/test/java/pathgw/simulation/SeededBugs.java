package pathgw.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.BiFunction;
import java.util.function.LongFunction;
import java.util.function.Predicate;
import pathgw.config.Address;
import pathgw.simulation.cluster.Mutation;
import pathgw.simulation.scenario.Scenario;
import pathgw.simulation.scenario.ScenarioGenerator;
import pathgw.transport.Connection;
import pathgw.transport.Transport;

/**
 * Seeds bugs into a proxy through its connections, and asserts that the simulation detects them.
 */
final class SeededBugs {
  private static final int MAX_SEEDS = 1000;
  private static final int MAX_SHRUNK_LINES = 12;

  private SeededBugs() {}

  /** Replaces the connections that a proxy opens to matching targets. */
  static Mutation openedConnections(
      Predicate<Address> targets,
      BiFunction<MutatedTransport, Connection, Connection> replacement) {
    return new Mutation() {
      @Override
      public Transport transport(Transport original, int proxy) {
        return new MutatedTransport(original) {
          @Override
          Connection opened(Connection connection, Address target) {
            return targets.test(target) ? replacement.apply(this, connection) : connection;
          }
        };
      }
    };
  }

  /** Replaces the connections that a proxy accepts from clients. */
  static Mutation clientConnections(
      BiFunction<MutatedTransport, Connection, Connection> replacement) {
    return new Mutation() {
      @Override
      public Transport transport(Transport original, int proxy) {
        return new MutatedTransport(original) {
          @Override
          Connection accepted(Connection connection) {
            return isFromClient(connection) ? replacement.apply(this, connection) : connection;
          }
        };
      }
    };
  }

  static void assertDetected(int rule, String kind, Mutation mutation) {
    assertDetected(rule, kind, mutation, 0);
  }

  static void assertDetected(int rule, String kind, Mutation mutation, long firstSeed) {
    assertDetected(rule, kind, mutation, firstSeed, ScenarioGenerator::scenario);
  }

  /**
   * Asserts that a seed violates the rule with the bug, that its scenario can be shrunk to a few
   * lines with the same violation, and that the shrunk scenario violates no rule without the bug.
   */
  static void assertDetected(
      int rule, String kind, Mutation mutation, long firstSeed, LongFunction<Scenario> generator) {
    RunResult failed = firstFailure(mutation, firstSeed, generator);
    assertNotNull(failed, "not found in " + MAX_SEEDS + " seeds");
    assertEquals(
        rule + " " + kind,
        failed.violation().rule() + " " + failed.violation().kind(),
        failed.violation().toString());
    String shrunk = ScenarioShrinker.shrink(failed, mutation).toString();
    System.out.println(
        "seeded bug "
            + kind
            + ": seed "
            + failed.scenario().seed()
            + ", "
            + shrunk.lines().count()
            + " lines");
    assertTrue(shrunk.lines().count() <= MAX_SHRUNK_LINES, shrunk);
    RunResult replayed = ScenarioRun.play(Scenario.parse(shrunk), mutation, null);
    assertTrue(
        failed.violation().isSameKindAs(replayed.violation()),
        "the scenario replays it: " + shrunk);
    RunResult withoutBug = ScenarioRun.play(Scenario.parse(shrunk), Mutation.NONE, null);
    assertEquals(null, withoutBug.violation(), "without the bug all rules are kept");
  }

  private static RunResult firstFailure(
      Mutation mutation, long firstSeed, LongFunction<Scenario> generator) {
    for (long seed = firstSeed; seed < MAX_SEEDS; seed++) {
      RunResult result = ScenarioRun.play(generator.apply(seed), mutation, null);
      if (result.violation() != null) {
        return result;
      }
    }
    return null;
  }
}
