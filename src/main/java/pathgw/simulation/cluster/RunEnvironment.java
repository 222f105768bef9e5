package pathgw.simulation.cluster;

import java.util.Random;
import java.util.function.Consumer;
import pathgw.simulation.invariant.InvariantChecker;
import pathgw.simulation.invariant.InvariantLimits;
import pathgw.simulation.invariant.Trace;
import pathgw.simulation.network.EventQueue;
import pathgw.simulation.network.VirtualNetwork;
import pathgw.simulation.network.VirtualProcess;
import pathgw.simulation.scenario.Scenario;

/**
 * State that all parts of one run share: scenario, event queue, network, members, trace and
 * checker.
 */
public final class RunEnvironment {
  /** Nanoseconds per millisecond. */
  public static final long NANOS_PER_MILLI = 1_000_000;

  private static final long SEED_MULTIPLIER = 1_000_003;

  private final Scenario scenario;
  private final EventQueue events = new EventQueue();
  private final Trace trace;
  private final VirtualNetwork network;
  private final ClusterMembers members;
  private final InvariantChecker checker;

  RunEnvironment(Scenario scenario, Consumer<String> traceConsumer) {
    this.scenario = scenario;
    trace = new Trace(traceConsumer);
    network =
        new VirtualNetwork(
            events,
            random("net"),
            (process, bytes) -> trace.addToDigest(events.now(), bytes.hashCode()));
    members = new ClusterMembers(scenario);
    checker =
        new InvariantChecker(events::now, trace, members, limits(scenario), scenario.proxies());
  }

  private static InvariantLimits limits(Scenario scenario) {
    return new InvariantLimits(
        ClusterSettings.RESPONSE_SLACK.toNanos(),
        ClusterSettings.DRAIN_GRACE.toNanos(),
        ClusterSettings.MAX_ATTEMPTS,
        scenario.dedupScope(),
        scenario.dedupWindowMs() * NANOS_PER_MILLI,
        scenario.maxDescriptors());
  }

  /** Returns the scenario of this run. */
  public Scenario scenario() {
    return scenario;
  }

  /** Returns the pending events and the virtual clock. */
  public EventQueue events() {
    return events;
  }

  /** Returns the virtual network. */
  public VirtualNetwork network() {
    return network;
  }

  /** Returns the cache nodes and proxies. */
  public ClusterMembers members() {
    return members;
  }

  /** Returns the digest and the trace of this run. */
  public Trace trace() {
    return trace;
  }

  /** Returns the checker of the invariants. */
  public InvariantChecker checker() {
    return checker;
  }

  /** Returns the virtual time in nanoseconds since the run began. */
  public long now() {
    return events.now();
  }

  /**
   * Schedules an action of the simulation itself; unlike a process's events it is never stalled or
   * dropped.
   */
  public void afterMillis(long delayMs, Runnable action) {
    afterNanos(delayMs * NANOS_PER_MILLI, action);
  }

  /**
   * Schedules an action of the simulation itself; unlike a process's events it is never stalled or
   * dropped.
   */
  public void afterNanos(long delayNanos, Runnable action) {
    events.scheduleInNanos(delayNanos, null, action);
  }

  /**
   * Returns a separate generator for one part of the run, so that draws of one part do not change
   * those of another.
   */
  Random random(String part) {
    return new Random(scenario.seed() * SEED_MULTIPLIER + part.hashCode());
  }

  /**
   * Creates a process for a fake; an exception in it is a bug of the simulation and ends the run.
   */
  VirtualProcess fakeProcess(String name) {
    return new VirtualProcess(
        name,
        events,
        exception -> {
          throw exception;
        });
  }
}
