package pathgw.simulation.invariant;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import pathgw.fake.BackendObserver;
import pathgw.fake.Request;
import pathgw.fake.client.ClientAttempt;
import pathgw.fake.client.ClientObserver;
import pathgw.observability.RequestObserver;
import pathgw.server.ResourceUsage;

/**
 * Observes all of one run and keeps the first violation of a rule.
 *
 * <p>It hears of every event, records it, and passes it to the classes that each check one rule.
 * Within one event the order of the checks matters: a run ends with its first violation.
 */
public final class InvariantChecker implements BackendObserver, ClientObserver {
  private static final String ORIGIN = "origin";
  private static final String DISCOVERY = "list";
  private static final String NODE_PREFIX = "n";
  private static final int MAX_TRACED_RESPONSE = 60;

  /** Values that stand for events without a value of their own in the digest. */
  private static final int CLIENT_LEFT_EVENT = 2;

  private static final int CONNECTION_LOST_EVENT = 3;
  private static final int NEVER_ANSWERED_EVENT = 4;
  private static final int INVALID_CLIENT_EVENT = 5;

  private final RunContext run;
  private final RequestInvariants requestRules;
  private final EffectInvariants effectRules;
  private final EndpointInvariants endpointRules;
  private final OverloadInvariants overloadRules;
  private final ResourceInvariants resourceRules;
  private final ServiceRate serviceRate = new ServiceRate();

  /**
   * Creates the checker of one run.
   *
   * @param clock virtual nanoseconds
   */
  public InvariantChecker(
      LongSupplier clock, Trace trace, SimulatedWorld world, InvariantLimits limits, int proxies) {
    run = new RunContext(clock, trace, world, limits);
    requestRules = new RequestInvariants(run);
    effectRules = new EffectInvariants(run);
    endpointRules = new EndpointInvariants(run, proxies);
    overloadRules = new OverloadInvariants(run, endpointRules);
    resourceRules = new ResourceInvariants(run);
  }

  /** The first violation, or null as long as all rules are kept. */
  public Violation firstViolation() {
    return run.violations.first();
  }

  /** How often each kind of event came. */
  public Map<String, Long> counts() {
    return run.counters.asMap();
  }

  /** The service rate is measured from now on. */
  public void startMeasuringService() {
    serviceRate.startMeasuring(run.nowNanos());
  }

  /** The share of first attempts that were served since then; 1 if there was none. */
  public double serviceRate() {
    return serviceRate.rate();
  }

  // Proxies.

  /** A proxy's process starts; it knows the states of hosts that its configuration names. */
  public void proxyStarted(int proxy, Map<String, String> healthByHost, long version) {
    endpointRules.proxyStarted(proxy, healthByHost, version);
  }

  /** A proxy could not begin to serve. */
  public void proxyStartFailed(int proxy, Throwable error) {
    resourceRules.startFailed(proxy, error);
  }

  /** A proxy was asked to stop and has not done so within the limit. */
  public void proxyStopTimedOut(int proxy, long limitMs) {
    requestRules.stopTimedOut(proxy, limitMs);
  }

  /** A handler of a proxy threw an exception. */
  public void handlerFailed(int proxy, RuntimeException error) {
    resourceRules.handlerFailed(proxy, error);
  }

  /** A proxy had long enough to learn a change of the list, so it counts as notified of it. */
  public void assumeNotified(int proxy, String host, String health, long version) {
    endpointRules.assumeNotified(proxy, host, health, version);
  }

  /** A proxy has opened a connection to a process. */
  public void connectionOpened(String target) {
    if (target.equals(DISCOVERY)) {
      run.counters.countFleetWide("discovery calls");
    } else if (target.startsWith(NODE_PREFIX)) {
      run.counters.countFleetWide("connections to nodes");
    }
  }

  /** Checks a proxy's bounds after each of its steps. */
  public void checkBounds(int proxy, ResourceUsage held) {
    resourceRules.checkBounds(proxy, held);
  }

  /** Checks at the end of a run, when no client is left, that a proxy holds nothing. */
  public void checkNothingHeld(int proxy, ResourceUsage held) {
    resourceRules.checkNothingHeld(proxy, held);
  }

  /**
   * Checks at the end of a run that service has recovered, unless nodes are gone for good.
   *
   * @param capacityFactor how many times the steady load the remaining nodes can serve
   * @param calmMs for how long there had been no fault when the last request came
   */
  public void checkServiceRecovered(double capacityFactor, long calmMs) {
    resourceRules.checkServiceRecovered(capacityFactor, calmMs, serviceRate());
  }

  /** Hears what a proxy decides. */
  public RequestObserver requestObserver(int proxy) {
    return new RequestObserver() {
      @Override
      public void requestRejectedOrFailed(String id) {
        RequestRecord request = run.request(id);
        if (request != null) {
          request.decided(run.nowNanos());
        }
        run.trace.say(run.nowNanos(), () -> "p" + proxy + " decides " + id);
      }

      @Override
      public void attemptEnded(String id, String end) {
        run.counters.count("attempt end " + end);
        run.trace.say(run.nowNanos(), () -> "p" + proxy + " attempt of " + id + " ends " + end);
      }
    };
  }

  /**
   * A proxy has written a complete command to a cache node or the origin.
   *
   * @param startedAtNanos when its first byte was written
   */
  public void attemptSent(int proxy, String target, Request command, long startedAtNanos) {
    run.event(
        command.id().hashCode(), () -> "p" + proxy + " forwards " + command.id() + " to " + target);
    run.counters.countFleetWide(attemptName(target));
    RequestRecord request = run.request(command.id());
    if (request == null) {
      return;
    }
    endpointRules.attemptSent(proxy, target, command, startedAtNanos);
    effectRules.attemptSent(request, target, startedAtNanos);
    requestRules.attemptSent(proxy, request, target, command, startedAtNanos);
    request.attempts.add(new RequestRecord.AttemptRecord(target, run.nowNanos()));
  }

  private String attemptName(String target) {
    if (target.equals(ORIGIN)) {
      return "fetches and writes at the origin";
    }
    return run.world.isWarmingUp(target) ? "attempts to cold nodes" : "attempts to warm nodes";
  }

  // Discovery, nodes and the origin.

  @Override
  public void endpointNotified(String proxy, String host, String health, long version) {
    endpointRules.notified(proxy, host, health, version);
  }

  @Override
  public void requestAccepted(String target, Request command, boolean deduplicated) {
    effectRules.ran(target, command, deduplicated);
  }

  @Override
  public void requestRejected(String target, Request command) {
    markNeverRan(target, command);
  }

  @Override
  public void cacheMissed(String target, Request command, boolean cold) {
    markNeverRan(target, command);
    RequestRecord request = run.request(command.id());
    if (request != null) {
      request.missedAtColdNode |= cold;
    }
  }

  private void markNeverRan(String target, Request command) {
    RequestRecord request = run.request(command.id());
    if (request != null) {
      request.markNeverRan(target);
    }
  }

  @Override
  public void replyCreated(String target, Request command, String response) {
    RequestRecord request = run.request(command.id());
    if (request != null) {
      request.madeResponses.add(response);
    }
  }

  @Override
  public void coldNodeLoad(double loadShare) {
    overloadRules.coldNodeLoaded(loadShare);
  }

  @Override
  public void coldNodeCrashed(String node, List<Arrival> arrivals) {
    overloadRules.coldNodeOverloaded(node, arrivals);
  }

  @Override
  public void originWentDown(List<Arrival> arrivals) {
    overloadRules.originOverloaded(arrivals);
  }

  // Clients.

  @Override
  public void attemptSent(ClientAttempt attempt, int proxy) {
    run.event(attempt.id().hashCode(), () -> describe(attempt, proxy));
    run.add(new RequestRecord(attempt));
    run.counters.count("client requests");
    serviceRate.requestStarted(attempt, run.nowNanos());
  }

  private static String describe(ClientAttempt attempt, int proxy) {
    return String.format(
        "client asks p%d for %s %s, %s, waits %d ms%s",
        proxy,
        attempt.requestClass().name(),
        attempt.key(),
        attempt.id(),
        attempt.timeout().toMillis(),
        attempt.retries() > 0 ? ", retry" : "");
  }

  @Override
  public void answered(ClientAttempt attempt, int proxy, String line) {
    run.event(
        line.hashCode(),
        () ->
            String.format(
                "p%d answers %s: %s",
                proxy,
                attempt == null ? "nobody" : attempt.id(),
                line.substring(0, Math.min(MAX_TRACED_RESPONSE, line.length()))));
    RequestRecord request = attempt == null ? null : run.request(attempt.id());
    if (request == null) {
      requestRules.unexpectedResponse(proxy, line);
      return;
    }
    request.endedAtNanos = run.nowNanos();
    requestRules.responded(proxy, request);
    ClientResponse response = ClientResponse.of(line);
    if (response.isServed()) {
      served(request, response);
    } else {
      notServed(proxy, request, response);
    }
  }

  private void served(RequestRecord request, ClientResponse response) {
    requestRules.served(request, response);
    serviceRate.requestServed(request.clientAttempt);
    run.counters.count("response " + response.code());
  }

  private void notServed(int proxy, RequestRecord request, ClientResponse response) {
    run.counters.count("response " + response.withoutFigure());
    requestRules.notServed(proxy, request, response);
    if (response.isRejected()) {
      effectRules.rejected(request);
    }
  }

  @Override
  public void attemptAbandoned(ClientAttempt attempt, int proxy) {
    run.event(CLIENT_LEFT_EVENT, () -> "client of " + attempt.id() + " leaves");
    RequestRecord request = run.request(attempt.id());
    request.endedAtNanos = run.nowNanos();
    request.clientLeft = true;
    run.counters.count("client left");
  }

  @Override
  public void connectionLost(ClientAttempt attempt, int proxy, boolean commandRead) {
    run.event(
        CONNECTION_LOST_EVENT,
        () ->
            String.format(
                "connection of %s ends, command %s",
                attempt.id(), commandRead ? "taken" : "not read"));
    RequestRecord request = run.request(attempt.id());
    request.endedAtNanos = run.nowNanos();
    requestRules.connectionLost(proxy, request, commandRead);
  }

  @Override
  public void attemptTimedOut(ClientAttempt attempt, int proxy) {
    run.event(NEVER_ANSWERED_EVENT, () -> attempt.id() + " is never answered");
    RequestRecord request = run.request(attempt.id());
    request.endedAtNanos = run.nowNanos();
    requestRules.neverAnswered(proxy, request);
  }

  @Override
  public void malformedInputEnded(int proxy, String behavior, Duration waited, String response) {
    run.event(
        INVALID_CLIENT_EVENT,
        () ->
            String.format(
                "invalid client at p%d, %s: %s",
                proxy,
                behavior,
                waited == null ? "left waiting" : waited.toMillis() + " ms " + response));
    run.counters.count("invalid client " + behavior);
    requestRules.invalidClientEnded(proxy, behavior, waited, response);
  }
}
