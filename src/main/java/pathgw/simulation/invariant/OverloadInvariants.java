package pathgw.simulation.invariant;

import java.util.List;
import pathgw.fake.BackendObserver.Arrival;

/** Rule 4: proxies overload neither a node that warms up nor the origin behind cold nodes. */
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
   * A node that warms up took a request.
   *
   * @param loadShare the part of the load that overloads it, 1 for all of it
   */
  void coldNodeLoaded(double loadShare) {
    run.counters.maximum(
        "rule 4, percent of what overloads a cold node", (long) (loadShare * PERCENT));
  }

  /** A node that warms up failed; proxies that knew it are to blame for two thirds or more. */
  void coldNodeOverloaded(String node, List<Arrival> arrivals) {
    long fromNotifiedProxies =
        arrivals.stream()
            .filter(arrival -> endpoints.hasBeenNotified(arrival.from(), node))
            .count();
    run.event(
        arrivals.size(), () -> node + " overloaded while cold: " + arrivals.size() + " requests");
    run.counters.count("cold node overloaded");
    if (fromNotifiedProxies * 3 >= arrivals.size() * 2L) {
      run.violations.report(
          RULE,
          "cold",
          String.format(
              "%s, cold, is overloaded by %d requests, %d of them from proxies that knew it",
              node, arrivals.size(), fromNotifiedProxies));
    }
  }

  /** The origin failed; cold nodes are to blame if they missed half of the requests or more. */
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
              "the origin is overloaded by %d requests, %d of them missed at cold nodes",
              arrivals.size(), missedAtColdNodes));
    }
  }
}
