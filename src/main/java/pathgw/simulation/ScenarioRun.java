package pathgw.simulation;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import pathgw.simulation.cluster.Cluster;
import pathgw.simulation.cluster.Mutation;
import pathgw.simulation.cluster.RunEnvironment;
import pathgw.simulation.cluster.SimulatedProxy;
import pathgw.simulation.invariant.InvariantChecker;
import pathgw.simulation.network.EventQueue;
import pathgw.simulation.network.VirtualProcess;
import pathgw.simulation.scenario.Fault;
import pathgw.simulation.scenario.Scenario;

/** Runs one scenario from its start to its end, or to the first violation of a rule. */
final class ScenarioRun {
  /** The service rate is measured over the last part of the load, which has this length. */
  private static final long SERVICE_RATE_WINDOW_MS = 3000;

  /** How long a run continues after the last request, until proxies must hold no resources. */
  private static final long SETTLE_TIME_MS = 8000;

  private static final long NANOS_PER_MILLI = RunEnvironment.NANOS_PER_MILLI;

  private final Scenario scenario;
  private final Cluster cluster;
  private final RunEnvironment environment;
  private final EventQueue events;
  private final InvariantChecker checker;
  private final FaultInjector faultInjector;

  private ScenarioRun(Scenario scenario, Mutation mutation, Consumer<String> traceConsumer) {
    this.scenario = scenario;
    cluster = new Cluster(scenario, mutation, traceConsumer);
    environment = cluster.environment();
    events = environment.events();
    checker = environment.checker();
    faultInjector = new FaultInjector(cluster);
  }

  /**
   * Runs a scenario.
   *
   * @param traceConsumer receives a line for each event; null for no trace
   */
  static RunResult play(Scenario scenario, Mutation mutation, Consumer<String> traceConsumer) {
    return new ScenarioRun(scenario, mutation, traceConsumer).play();
  }

  private RunResult play() {
    cluster.start();
    scheduleScenario();
    long steps = playEvents();
    if (checker.firstViolation() == null) {
      checkEnd();
    }
    return new RunResult(
        scenario,
        checker.firstViolation(),
        environment.trace().digest(),
        steps,
        events.now() / NANOS_PER_MILLI,
        checker.serviceRate(),
        counts());
  }

  private void scheduleScenario() {
    for (Fault fault : scenario.faults()) {
      scheduleAt(fault.atMs(), () -> faultInjector.inject(fault));
    }
    scheduleAt(
        Math.max(0, scenario.durationMs() - SERVICE_RATE_WINDOW_MS),
        checker::startMeasuringService);
    scheduleAt(scenario.durationMs(), cluster.clients()::stop);
  }

  private void scheduleAt(long atMs, Runnable action) {
    events.scheduleAtNanos(atMs * NANOS_PER_MILLI, null, action);
  }

  private long playEvents() {
    long endNanos = (scenario.durationMs() + SETTLE_TIME_MS) * NANOS_PER_MILLI;
    long steps = 0;
    while (checker.firstViolation() == null && events.step(endNanos)) {
      steps++;
      checkBounds(events.lastEventOwner());
    }
    return steps;
  }

  private void checkBounds(VirtualProcess process) {
    if (process == null || !SimulatedProxy.isProxy(process)) {
      return;
    }
    SimulatedProxy proxy = environment.members().proxyNamed(process.name());
    if (proxy.isServing(process)) {
      checker.checkBounds(proxy.number(), proxy.server().resourceUsage());
    }
  }

  private void checkEnd() {
    for (SimulatedProxy proxy : environment.members().proxies()) {
      if (proxy.isServing()) {
        checker.checkNothingHeld(proxy.number(), proxy.server().resourceUsage());
      }
    }
    long lastRequestMs = events.now() / NANOS_PER_MILLI - SETTLE_TIME_MS;
    checker.checkServiceRecovered(
        environment.members().capacityFactor(), lastRequestMs - scenario.lastFaultEndMs());
  }

  private Map<String, Long> counts() {
    Map<String, Long> counts = new LinkedHashMap<>(checker.counts());
    faultInjector.counts().forEach((kind, count) -> counts.put("fault " + kind, count));
    return counts;
  }
}
