package pathgw.simulation.invariant;

import static pathgw.simulation.invariant.RunContext.NANOS_PER_MILLI;
import static pathgw.simulation.invariant.RunContext.SOCKET_ALLOWANCE_NANOS;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pathgw.fake.Request;

/**
 * Rule 3: a proxy sends nothing new to a node once it was notified that the node drains or is gone.
 *
 * <p>Not the true state of the node counts but what the proxy was notified of, so this class keeps
 * one table of notified states for each proxy.
 */
final class EndpointInvariants {
  private static final int RULE = 3;
  private static final String READY = "ready";
  private static final String GONE = "gone";

  /** The state of a node that a proxy was last notified of. */
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

  /** A new process of a proxy knows what its configuration says and nothing else. */
  void proxyStarted(int proxy, Map<String, String> healthByHost, long version) {
    Map<String, NotifiedState> states = notifiedStates.get(proxy);
    states.clear();
    healthByHost.forEach(
        (host, health) -> states.put(host, new NotifiedState(health, version, run.nowNanos())));
  }

  /** See {@link pathgw.fake.BackendObserver#told}. */
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

  /** A complete list has ended: a host that it did not name is gone. */
  private void markUnlistedGone(Map<String, NotifiedState> states, long version) {
    states.replaceAll(
        (host, state) ->
            state.version < version && !state.health.equals(GONE)
                ? new NotifiedState(GONE, version, run.nowNanos())
                : state);
  }

  /** A proxy had long enough to learn this, so it counts as notified whether it was or not. */
  void assumeNotified(int proxy, String host, String health, long version) {
    NotifiedState before = notifiedStates.get(proxy).get(host);
    if (before != null && before.version < version && before.isReady()) {
      notifiedStates.get(proxy).put(host, new NotifiedState(health, version, run.nowNanos()));
    }
  }

  /** Whether the proxy was ever notified of this host since it was started. */
  boolean hasBeenNotified(String proxy, String host) {
    return notifiedStates.get(RunContext.proxyNumber(proxy)).containsKey(host);
  }

  /** Checks an attempt whose first byte was written at {@code startedAtNanos}. */
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
              "p%d forwards %s to %s %d ms after it was notified that it is %s",
              proxy, request.id(), target, elapsedMs, state.health));
    }
  }
}
