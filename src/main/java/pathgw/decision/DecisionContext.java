package pathgw.decision;

import static pathgw.algorithm.Durations.before;
import static pathgw.algorithm.Durations.seconds;
import static pathgw.algorithm.Durations.span;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.RandomGeneratorFactory;
import pathgw.algorithm.RateEstimate;
import pathgw.algorithm.TimerQueue;
import pathgw.decision.RequestState.NextStep;

/**
 * What the mechanisms of one {@link DecisionEngine} share: settings, clock, randomness, timers,
 * endpoints, measured rates and the two queues that {@link DecisionEngine#decide} empties. It
 * chooses nothing.
 */
final class DecisionContext {
  final Settings settings;
  final Random random;

  /** The same generator as {@link #random}, for distributions. */
  final RandomGenerator randomGenerator;

  final TimerQueue timers = new TimerQueue();

  /** Requests that arrive at this proxy. */
  final RateEstimate requestRate = new RateEstimate();

  /** Attempts that cache nodes answer, with a value or a miss. */
  final RateEstimate answerRate = new RateEstimate();

  /** The shortest latency objective of all request classes, in seconds. */
  final double shortestObjective;

  /** How long an adaptive limit is held after a decrease. */
  final Duration limitHold;

  /** The sum of all tenants' quotas, in requests a second over all proxies. */
  final double totalQuota;

  final EndpointTable endpoints;

  /** The largest fleet seen, in warm cache nodes for each proxy. */
  double capacityPerProxy;

  /** Whether the fleet can bear clearly less than at its largest. */
  boolean fleetReduced;

  Duration now = Duration.ZERO;
  int cacheAttemptsInFlight;

  /** Requests that have not ended or have attempts in flight. */
  final Map<Long, RequestState> requestsById = new HashMap<>();

  private final ArrayDeque<RequestState> pending = new ArrayDeque<>();
  private final ArrayDeque<Consumer<DecisionSink>> actions = new ArrayDeque<>();

  DecisionContext(Settings settings, long seed) {
    this.settings = settings;
    endpoints = new EndpointTable(settings.originKind());
    capacityPerProxy = 1.0 / settings.proxies();
    random = new Random(seed);
    randomGenerator = RandomGeneratorFactory.createRandomGenerator(random);
    totalQuota = settings.quotas().stream().mapToDouble(quota -> quota).sum();
    shortestObjective =
        settings.requestClasses().stream()
            .mapToDouble(requestClass -> seconds(requestClass.latencyObjective()))
            .min()
            .orElse(1);
    limitHold = span(shortestObjective / 2);
  }

  boolean hasReached(Duration time) {
    return !before(now, time);
  }

  double secondsUntil(Duration time) {
    return seconds(time.minus(now));
  }

  double secondsSince(Duration time) {
    return seconds(now.minus(time));
  }

  Duration after(double seconds) {
    return now.plus(span(seconds));
  }

  void schedule(double seconds, Runnable task) {
    timers.schedule(after(seconds), task);
  }

  /** Queues a call that needs no further decision. */
  void addAction(Consumer<DecisionSink> action) {
    actions.add(action);
  }

  /** Makes the next queued call; false if there is none. */
  boolean performAction(DecisionSink sink) {
    if (actions.isEmpty()) {
      return false;
    }
    actions.poll().accept(sink);
    return true;
  }

  /** Queues a request that has just arrived. */
  void addRequest(RequestState request) {
    pending.add(request);
  }

  /** The next request with a step to take, or null. */
  RequestState pollRequest() {
    return pending.poll();
  }

  /** Queues a request for a step. It takes the last step asked for, but never another than END. */
  void requestStep(RequestState request, NextStep step) {
    if (request.ended || request.streaming) {
      return;
    }
    if (request.nextStep == NextStep.NOTHING) {
      pending.add(request);
    }
    request.nextStep = request.nextStep == NextStep.END ? NextStep.END : step;
  }
}
