package pathgw.decision;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.DoubleStream;
import pathgw.decision.Settings.DedupScope;
import pathgw.decision.Settings.Effect;
import pathgw.decision.Settings.RequestClass;

/** Drives one {@link DecisionEngine} at a time that the test sets, and records its actions. */
public final class DecisionEngineFixture implements DecisionSink {
  static final int ORIGIN = 9;
  static final Duration START = Duration.ZERO;

  final List<String> actions = new ArrayList<>();
  final List<Long> attemptedNodes = new ArrayList<>();
  final List<Duration> sendTimeLimits = new ArrayList<>();
  final DecisionEngine engine;
  private Duration now = START;

  DecisionEngineFixture(boolean through, Effect effect, DedupScope group, List<Double> quotas) {
    this(through, effect, group, quotas, 0.5, 2, 7);
  }

  private DecisionEngineFixture(
      boolean through,
      Effect effect,
      DedupScope group,
      List<Double> quotas,
      double late,
      int proxies,
      long seed) {
    this(
        new Settings(
            proxies,
            through,
            through ? -1 : ORIGIN,
            List.of(new RequestClass(effect, group, ms(400), ms(300), ms(1000), 1, late)),
            quotas,
            4,
            true,
            true,
            true,
            Duration.ZERO,
            false,
            ms(10000),
            ms(1),
            0.4,
            ms(8000),
            3,
            ms(2000),
            0,
            0,
            false),
        seed);
  }

  private DecisionEngineFixture(Settings settings, long seed) {
    engine = new DecisionEngine(settings, seed);
    engine.clock(START);
  }

  /**
   * One of 100 proxies, each with its client: connections are paid for, answers keep their order.
   */
  static DecisionEngineFixture onePerClient(double... quotas) {
    RequestClass longer =
        new RequestClass(Effect.IDEMPOTENT, DedupScope.ALL, ms(400), ms(2500), ms(6000), 1, 0);
    RequestClass shorter =
        new RequestClass(Effect.IDEMPOTENT, DedupScope.ALL, ms(400), ms(150), ms(400), 1, 0);
    return new DecisionEngineFixture(
        new Settings(
            100,
            false,
            ORIGIN,
            List.of(longer, shorter),
            DoubleStream.of(quotas).boxed().toList(),
            3,
            false,
            true,
            false,
            Duration.ZERO,
            false,
            ms(10000),
            ms(1),
            0.4,
            ms(8000),
            3,
            ms(2000),
            0.03,
            0.03,
            true),
        7);
  }

  static DecisionEngineFixture readThrough(Effect effect) {
    return new DecisionEngineFixture(true, effect, DedupScope.ALL, List.of());
  }

  static DecisionEngineFixture readThrough(Effect effect, double lateWeight) {
    return new DecisionEngineFixture(true, effect, DedupScope.ALL, List.of(), lateWeight, 2, 7);
  }

  static DecisionEngineFixture oneOf(int proxies, boolean through, long seed, List<Double> quotas) {
    return new DecisionEngineFixture(
        through, Effect.IDEMPOTENT, DedupScope.ALL, quotas, 0.5, proxies, seed);
  }

  static Duration ms(long ms) {
    return Duration.ofMillis(ms);
  }

  DecisionEngineFixture withEndpoints(long... ids) {
    engine.beginEndpointUpdate(true, false);
    for (long id : ids) {
      engine.updateEndpoint(id, EndpointState.READY, null, id == 0 ? ORIGIN : 0, (int) id, 0);
    }
    engine.endEndpointUpdate();
    return this;
  }

  DecisionEngineFixture withEndpointUpdate(long id, EndpointState state, Duration since) {
    engine.beginEndpointUpdate(false, false);
    engine.updateEndpoint(id, state, since, 0, (int) id, 0);
    engine.endEndpointUpdate();
    return this;
  }

  DecisionEngineFixture requestArrived(long id, long key) {
    engine.requestArrived(id, 0, 0, key, ms(1000), START, false, false);
    return this;
  }

  /** An ordinary request of the first class that names no work. */
  DecisionEngineFixture requestArrived(
      long id, int tenant, long key, long deadlineMs, boolean repeat) {
    engine.requestArrived(id, 0, tenant, key, ms(deadlineMs), START, repeat, false);
    return this;
  }

  /** Carries out decisions until there is none. */
  DecisionEngineFixture decideAll() {
    while (engine.decide(this)) {
      if (actions.size() > 100_000) {
        throw new IllegalStateException("decisions never end");
      }
    }
    return this;
  }

  DecisionEngineFixture asks(long id, int requestClass, int tenant, long key) {
    engine.requestArrived(id, requestClass, tenant, key, now.plus(ms(5000)), START, false, false);
    return decideAll();
  }

  DecisionEngineFixture attemptEnded(long id, int number, AttemptOutcome outcome, long latencyMs) {
    engine.attemptEnded(id, number, outcome, ms(latencyMs), outcome == AttemptOutcome.SERVED);
    return decideAll();
  }

  DecisionEngineFixture attemptEnded(long id, int number, AttemptOutcome outcome) {
    engine.attemptEnded(id, number, outcome, ms(5), outcome == AttemptOutcome.SERVED);
    return this;
  }

  DecisionEngineFixture at(long ms) {
    now = ms(ms);
    engine.clock(ms(ms));
    return this;
  }

  long count(String word) {
    return actions.stream().filter(s -> s.startsWith(word)).count();
  }

  @Override
  public void attempt(long request, Duration patience, Duration sendWithin, long node) {
    sendTimeLimits.add(sendWithin);
    actions.add("attempt " + request);
    attemptedNodes.add(node);
  }

  @Override
  public void cancel(long request, int attempt) {
    actions.add("cancel " + request);
  }

  @Override
  public void reject(long request, Duration retryAfter) {
    actions.add("reject " + request);
  }

  @Override
  public void fail(long request) {
    actions.add("fail " + request);
  }

  @Override
  public void wake(Duration in) {}

  @Override
  public void gossip(long node, boolean success) {
    actions.add("gossip " + node + " " + success);
  }

  @Override
  public void closeIdle(long node) {
    actions.add("close " + node);
  }

  @Override
  public void watchEndpoints() {
    actions.add("watch");
  }

  @Override
  public void pollEndpoints() {
    actions.add("poll");
  }
}
