package pathgw.simulation.invariant;

import static pathgw.simulation.invariant.RunContext.NANOS_PER_MILLI;
import static pathgw.simulation.invariant.RunContext.SOCKET_ALLOWANCE_NANOS;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pathgw.fake.Request;

/**
 * Rule 3: a proxy sends no new request to a node after it was notified that the node is draining or
 * gone.
 *
 * <p>The check uses the states that a proxy was notified of, not the real state of a node. This
 * class therefore keeps one table of notified states per proxy.
 */
final class EndpointInvariants {
  private static final int RULE = 3;
  private static final String READY = "ready";
  private static final String GONE = "gone";

  /** The state of a node that a proxy was last notified of, and since when that state holds. */
  private record NotifiedState(String health, long version, long sinceNanos) {
    boolean isReady() {
      return health.equals(READY);
    }
  }

  private final RunContext run;
  private final List<Map<String, NotifiedState>> notifiedStates = new ArrayList<>();

  EndpointInvariants(RunContext run, int proxies) {
    this.run = run;
    for (int proxy = 0; proxy < proxies; proxy++) {
      notifiedStates.add(new LinkedHashMap<>());
    }
  }

  /** Resets a proxy's table: a new process knows only the states in its configuration. */
  void proxyStarted(int proxy, Map<String, String> healthByHost, long version) {
    Map<String, NotifiedState> states = notifiedStates.get(proxy);
    states.clear();
    healthByHost.forEach(
        (host, health) -> states.put(host, new NotifiedState(health, version, run.nowNanos())));
  }

  /**
   * Records one entry of the endpoint list that was sent to a proxy; see {@link
   * pathgw.fake.BackendObserver#endpointNotified}.
   */
  void notified(String proxy, String host, String health, long version) {
    Map<String, NotifiedState> states = notifiedStates.get(RunContext.proxyNumber(proxy));
    if (host.isEmpty()) {
      markUnlistedGone(states, version);
      return;
    }
    NotifiedState before = states.get(host);
    if (before != null && before.version > version) {
      return;
    }
    boolean unchanged = before != null && before.health.equals(health);
    long since = unchanged ? before.sinceNanos : run.nowNanos();
    states.put(host, new NotifiedState(health, version, since));
    run.event(
        version,
        () -> proxy + " notified: " + host + " is " + health + ", list version " + version);
  }

  /** Marks all hosts as gone that a complete list did not contain. */
  private void markUnlistedGone(Map<String, NotifiedState> states, long version) {
    states.replaceAll(
        (host, state) ->
            state.version < version && !state.health.equals(GONE)
                ? new NotifiedState(GONE, version, run.nowNanos())
                : state);
  }

  /**
   * Treats a proxy as notified of a state because it had enough time to learn it, whether or not it
   * did.
   */
  void assumeNotified(int proxy, String host, String health, long version) {
    NotifiedState before = notifiedStates.get(proxy).get(host);
    if (before != null && before.version < version && before.isReady()) {
      notifiedStates.get(proxy).put(host, new NotifiedState(health, version, run.nowNanos()));
    }
  }

  /** Whether the proxy's current process was ever notified of this host. */
  boolean hasBeenNotified(String proxy, String host) {
    return notifiedStates.get(RunContext.proxyNumber(proxy)).containsKey(host);
  }

  /**
   * Checks an attempt.
   *
   * @param startedAtNanos when its first byte was written
   */
  void attemptSent(int proxy, String target, Request request, long startedAtNanos) {
    NotifiedState state = notifiedStates.get(proxy).get(target);
    if (state == null || state.isReady()) {
      return;
    }
    run.counters.maximum(
        "rule 3, ms after the notification that a leaving node got a new request",
        (startedAtNanos - state.sinceNanos) / NANOS_PER_MILLI);
    if (startedAtNanos > state.sinceNanos + run.limits.drainGraceNanos() + SOCKET_ALLOWANCE_NANOS) {
      long elapsedMs = (run.nowNanos() - state.sinceNanos) / NANOS_PER_MILLI;
      run.violations.report(
          RULE,
          "drain",
          String.format(
              "p%d forwarded %s to %s %d ms after it was notified that the node is %s",
              proxy, request.id(), target, elapsedMs, state.health));
    }
  }
}
