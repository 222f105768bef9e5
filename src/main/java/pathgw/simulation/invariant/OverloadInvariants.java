package pathgw.simulation.invariant;

import java.util.List;
import pathgw.fake.BackendObserver.Arrival;

/** Rule 4: proxies overload neither a node that is warming up nor the origin behind cold nodes. */
final class OverloadInvariants {
  private static final int RULE = 4;
  private static final int PERCENT = 100;

  private final RunContext run;
  private final EndpointInvariants endpoints;

  OverloadInvariants(RunContext run, EndpointInvariants endpoints) {
    this.run = run;
    this.endpoints = endpoints;
  }

  /**
   * Records the load of a node that is warming up.
   *
   * @param loadShare its recent load as a share of the load at which it crashes
   */
  void coldNodeLoaded(double loadShare) {
    run.counters.maximum(
        "rule 4, percent of what overloads a cold node", (long) (loadShare * PERCENT));
  }

  /**
   * A node crashed while it was warming up. This violates the rule if at least two thirds of its
   * requests came from proxies that had been notified of the node.
   */
  void coldNodeOverloaded(String node, List<Arrival> arrivals) {
    long fromNotifiedProxies =
        arrivals.stream()
            .filter(arrival -> endpoints.hasBeenNotified(arrival.proxyName(), node))
            .count();
    run.event(
        arrivals.size(), () -> node + " overloaded while cold: " + arrivals.size() + " requests");
    run.counters.count("cold node overloaded");
    if (fromNotifiedProxies * 3 >= arrivals.size() * 2L) {
      run.violations.report(
          RULE,
          "cold",
          String.format(
              "%s crashed while warming up: %d requests, %d of them from proxies notified of it",
              node, arrivals.size(), fromNotifiedProxies));
    }
  }

  /**
   * The origin failed. This violates the rule if at least half of its requests had missed at cold
   * nodes.
   */
  void originOverloaded(List<Arrival> arrivals) {
    long missedAtColdNodes =
        arrivals.stream()
            .map(arrival -> run.request(arrival.id()))
            .filter(request -> request != null && request.missedAtColdNode)
            .count();
    run.event(arrivals.size(), () -> "origin overloaded: " + arrivals.size() + " requests");
    run.counters.count("origin overloaded");
    if (missedAtColdNodes * 2 >= arrivals.size()) {
      run.violations.report(
          RULE,
          "origin",
          String.format(
              "the origin failed from overload: %d requests, %d of them had missed at cold nodes",
              arrivals.size(), missedAtColdNodes));
    }
  }
}
