package pathgw.simulation;

import java.util.ArrayList;
import java.util.List;
import pathgw.simulation.cluster.Mutation;
import pathgw.simulation.invariant.Violation;
import pathgw.simulation.scenario.Fault;
import pathgw.simulation.scenario.Scenario;
import pathgw.simulation.scenario.ScenarioParameter;

/**
 * Reduces a scenario that violates a rule to a small one with the same kind of violation.
 *
 * <p>It tries one simplification after another and keeps each that still violates the rule, until a
 * whole round changes nothing or {@link #MAX_RUNS} is reached.
 */
final class ScenarioShrinker {
  private static final int MAX_RUNS = 400;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long MIN_DURATION_MS = 500;

  /**
   * How much longer than until the violation a run lasts, so that a delayed detection still occurs.
   */
  private static final long DURATION_MARGIN_MS = 1000;

  private static final List<ScenarioParameter> PARAMETERS_TO_ZERO =
      List.of(ScenarioParameter.RUDE, ScenarioParameter.STAY, ScenarioParameter.WARM_UP);
  private static final List<ScenarioParameter> PARAMETERS_TO_DEFAULT =
      List.of(
          ScenarioParameter.KEYS,
          ScenarioParameter.SKEW,
          ScenarioParameter.ROOM,
          ScenarioParameter.TIPS,
          ScenarioParameter.MEMORY,
          ScenarioParameter.SOCKETS);

  /** Node counts to try, in ascending order. */
  private static final List<Integer> NODE_COUNTS = List.of(1, 2, 3, 4, 6, 8, 12);

  private final Mutation mutation;
  private final Violation violation;
  private Scenario smallest;
  private int runs;

  private ScenarioShrinker(RunResult failed, Mutation mutation) {
    this.mutation = mutation;
    violation = failed.violation();
    smallest = failed.scenario();
  }

  /** Returns the smallest scenario found within a limited number of runs. */
  static Scenario shrink(RunResult failed, Mutation mutation) {
    ScenarioShrinker shrinker = new ScenarioShrinker(failed, mutation);
    Scenario before;
    do {
      before = shrinker.smallest;
      shrinker.shrinkDuration();
      shrinker.removeFaults();
      shrinker.shrinkParameters();
      shrinker.simplifyFaultTimes();
    } while (!shrinker.smallest.equals(before) && shrinker.runs < MAX_RUNS);
    return shrinker.smallest;
  }

  /** Replaces the smallest scenario by a simpler one if that has the same kind of violation. */
  private boolean tryScenario(Scenario simpler) {
    if (simpler.equals(smallest) || runs++ >= MAX_RUNS) {
      return false;
    }
    if (violation.isSameKindAs(ScenarioRun.play(simpler, mutation, null).violation())) {
      smallest = simpler;
      return true;
    }
    return false;
  }

  /**
   * Shortens the run and removes the faults after its end. Events after the violation cannot have
   * caused it, but a leak is only detected at the end of a run.
   */
  private void shrinkDuration() {
    long violationDurationMs = violation.atNanos() / NANOS_PER_MILLI + DURATION_MARGIN_MS;
    long[] durations = {smallest.durationMs() / 4, smallest.durationMs() / 2, violationDurationMs};
    for (long duration : durations) {
      long durationMs = Math.max(MIN_DURATION_MS, duration);
      if (durationMs < smallest.durationMs()) {
        List<Fault> faults =
            smallest.faults().stream().filter(fault -> fault.atMs() < durationMs).toList();
        tryScenario(smallest.with(ScenarioParameter.LASTS, durationMs).withFaults(faults));
      }
    }
  }

  /** Removes half of the faults at a time, then a quarter, and so on down to single faults. */
  private void removeFaults() {
    for (int size = Math.max(1, smallest.faults().size() / 2); size >= 1; size /= 2) {
      int start = 0;
      while (start < smallest.faults().size()) {
        List<Fault> remaining = new ArrayList<>(smallest.faults());
        remaining.subList(start, Math.min(start + size, remaining.size())).clear();
        if (!tryScenario(smallest.withFaults(remaining))) {
          start += size;
        }
      }
    }
  }

  private void shrinkParameters() {
    for (ScenarioParameter parameter : PARAMETERS_TO_ZERO) {
      tryScenario(smallest.with(parameter, 0));
    }
    shrinkProxies();
    shrinkNodes();
    shrinkRate();
    for (ScenarioParameter parameter : PARAMETERS_TO_DEFAULT) {
      tryScenario(smallest.with(parameter, parameter.of(Scenario.DEFAULTS)));
    }
    Scenario lookAside = smallest.withMode(Scenario.LOOK_ASIDE);
    Scenario oneDedupScope = smallest.withDedupScope(Scenario.DEFAULTS.dedupScope());
    tryScenario(lookAside);
    tryScenario(oneDedupScope);
  }

  private void shrinkProxies() {
    for (int proxies = 1; proxies < smallest.proxies(); proxies++) {
      if (tryScenario(smallest.with(ScenarioParameter.PROXIES, proxies))) {
        return;
      }
    }
  }

  private void shrinkNodes() {
    for (int nodes : NODE_COUNTS) {
      if (nodes < smallest.nodes() && tryScenario(smallest.with(ScenarioParameter.NODES, nodes))) {
        return;
      }
    }
  }

  private void shrinkRate() {
    boolean shrunk = true;
    while (shrunk) {
      double halfRate = Math.max(1, Math.floor(smallest.requestsPerSecond() / 2));
      shrunk = tryScenario(smallest.with(ScenarioParameter.RATE, halfRate));
    }
  }

  private record FaultTime(long atMs, long activeMs) {}

  private void simplifyFaultTimes() {
    for (int index = 0; index < smallest.faults().size(); index++) {
      Fault fault = smallest.faults().get(index);
      for (FaultTime time : simplerTimes(fault)) {
        // A duration of 0 would make a temporary fault permanent.
        if (time.activeMs > 0 || fault.isPermanent()) {
          tryScenario(withFaultTime(index, fault, time));
        }
      }
    }
  }

  private static List<FaultTime> simplerTimes(Fault fault) {
    return List.of(
        new FaultTime(fault.atMs(), fault.activeMs() / 2),
        new FaultTime(fault.atMs() / 100 * 100, fault.activeMs() / 100 * 100),
        new FaultTime(fault.atMs() / 1000 * 1000, fault.activeMs()));
  }

  private Scenario withFaultTime(int index, Fault fault, FaultTime time) {
    List<Fault> faults = new ArrayList<>(smallest.faults());
    faults.set(
        index,
        new Fault(time.atMs, time.activeMs, fault.kind(), fault.target(), fault.magnitude()));
    return smallest.withFaults(faults);
  }
}
