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
  void during(Fault fault, Runnable begin, Runnable end) {
    begin.run();
    if (!fault.isPermanent()) {
      environment.afterMillis(fault.activeMs(), end);
    }
  }

  /** Sets a figure to the strength of the fault, and to its normal value afterwards. */
  void during(Fault fault, DoubleConsumer figure, double normalValue) {
    during(fault, () -> figure.accept(fault.magnitude()), () -> figure.accept(normalValue));
  }
}
