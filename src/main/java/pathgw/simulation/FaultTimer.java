package pathgw.simulation;

import java.util.function.DoubleConsumer;
import pathgw.simulation.cluster.RunEnvironment;
import pathgw.simulation.scenario.Fault;

/** Starts faults and ends them after their duration. */
final class FaultTimer {
  private final RunEnvironment environment;

  FaultTimer(RunEnvironment environment) {
    this.environment = environment;
  }

  /** Starts a fault now and schedules its end, unless it is permanent. */
  void apply(Fault fault, Runnable begin, Runnable end) {
    begin.run();
    if (!fault.isPermanent()) {
      environment.afterMillis(fault.activeMs(), end);
    }
  }

  /** Passes the fault's magnitude to a setter now, and the normal value when the fault ends. */
  void apply(Fault fault, DoubleConsumer setter, double normalValue) {
    apply(fault, () -> setter.accept(fault.magnitude()), () -> setter.accept(normalValue));
  }
}
