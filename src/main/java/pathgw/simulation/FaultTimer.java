package pathgw.simulation;

import java.util.function.DoubleConsumer;
import pathgw.simulation.cluster.RunEnvironment;
import pathgw.simulation.scenario.Fault;

/** Begins faults and ends them after their time. */
final class FaultTimer {
  private final RunEnvironment environment;

  FaultTimer(RunEnvironment environment) {
    this.environment = environment;
  }

  /** Begins a fault now; a permanent one does not end. */
  void apply(Fault fault, Runnable begin, Runnable end) {
    begin.run();
    if (!fault.isPermanent()) {
      environment.afterMillis(fault.activeMs(), end);
    }
  }

  /** Sets a figure to the strength of the fault, and to its normal value afterwards. */
  void apply(Fault fault, DoubleConsumer setter, double normalValue) {
    apply(fault, () -> setter.accept(fault.magnitude()), () -> setter.accept(normalValue));
  }
}
