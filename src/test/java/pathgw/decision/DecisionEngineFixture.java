package pathgw.decision;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.DoubleStream;
import pathgw.decision.Settings.Effect;
import pathgw.decision.Settings.Group;
import pathgw.decision.Settings.RequestClass;

/**
 * Builds a state of {@link DecisionEngine} and keeps what it decided, as words; and sockets that
 * the test holds.
 */
public final class DecisionEngineFixture implements DecisionSink {
  static final int ORIGIN = 9;
  static final Duration START = Duration.ZERO;

  final List<String> said = new ArrayList<>();
  final List<Long> sentTo = new ArrayList<>();
  final List<Duration> mostToSend = new ArrayList<>();
  final DecisionEngine decide;
  private Duration now = START;

  DecisionEngineFixture(boolean through, Effect effect, Group group, List<Double> quotas) {
    this(through, effect, group, quotas, 0.5, 2, 7);
  }

  private DecisionEngineFixture(
      boolean through,
      Effect effect,
      Group group,
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
    decide = new DecisionEngine(settings, seed);
    decide.clock(START);
  }

  /**
   * One of 100 proxies, each with its client: connections are paid for, answers keep their order.
   */
  static DecisionEngineFixture ofAClient(double... quotas) {
    RequestClass longer =
        new RequestClass(Effect.IDEMPOTENT, Group.ALL, ms(400), ms(2500), ms(6000), 1, 0);
    RequestClass shorter =
        new RequestClass(Effect.IDEMPOTENT, Group.ALL, ms(400), ms(150), ms(400), 1, 0);
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

  static DecisionEngineFixture through(Effect effect) {
    return new DecisionEngineFixture(true, effect, Group.ALL, List.of());
  }

  static DecisionEngineFixture through(Effect effect, double lateWeight) {
    return new DecisionEngineFixture(true, effect, Group.ALL, List.of(), lateWeight, 2, 7);
  }

  static DecisionEngineFixture oneOf(int proxies, boolean through, long seed, List<Double> quotas) {
    return new DecisionEngineFixture(
        through, Effect.IDEMPOTENT, Group.ALL, quotas, 0.5, proxies, seed);
  }

  static Duration ms(long ms) {
    return Duration.ofMillis(ms);
  }

  DecisionEngineFixture list(long... ids) {
    decide.beginEndpointUpdate(true, false);
    for (long id : ids) {
      decide.updateEndpoint(id, EndpointState.READY, null, id == 0 ? ORIGIN : 0, (int) id, 0);
    }
    decide.endEndpointUpdate();
    return this;
  }

  DecisionEngineFixture change(long id, EndpointState state, Duration since) {
    decide.beginEndpointUpdate(false, false);
    decide.updateEndpoint(id, state, since, 0, (int) id, 0);
    decide.endEndpointUpdate();
    return this;
  }

  DecisionEngineFixture requestArrived(long id, long key) {
    decide.requestArrived(id, 0, 0, key, ms(1000), START, false, false);
    return this;
  }

  DecisionEngineFixture pull() {
    while (decide.decide(this)) {
      if (said.size() > 100_000) {
        throw new IllegalStateException("decisions never end");
      }
    }
    return this;
  }

  DecisionEngineFixture asks(long id, int requestClass, int tenant, long key) {
    decide.requestArrived(id, requestClass, tenant, key, now.plus(ms(5000)), START, false, false);
    return pull();
  }

  DecisionEngineFixture attemptEnded(long id, int number, AttemptOutcome how, long lag) {
    decide.attemptEnded(id, number, how, ms(lag), how == AttemptOutcome.SERVED);
    return pull();
  }

  DecisionEngineFixture attemptEnded(long id, int number, AttemptOutcome how) {
    decide.attemptEnded(id, number, how, ms(5), how == AttemptOutcome.SERVED);
    return this;
  }

  DecisionEngineFixture at(long ms) {
    now = ms(ms);
    decide.clock(ms(ms));
    return this;
  }

  long count(String word) {
    return said.stream().filter(s -> s.startsWith(word)).count();
  }

  @Override
  public void attempt(long request, Duration patience, Duration sendWithin, long node) {
    mostToSend.add(sendWithin);
    said.add("hand-off " + request);
    sentTo.add(node);
  }

  @Override
  public void cancel(long request, int attempt) {
    said.add("withdraw " + request);
  }

  @Override
  public void reject(long request, Duration retryAfter) {
    said.add("deny " + request);
  }

  @Override
  public void fail(long request) {
    said.add("write-off " + request);
  }

  @Override
  public void wake(Duration in) {}

  @Override
  public void gossip(long node, boolean success) {
    said.add("tell " + node + " " + success);
  }

  @Override
  public void closeIdle(long node) {
    said.add("close " + node);
  }

  @Override
  public void watchEndpoints() {
    said.add("watch");
  }

  @Override
  public void pollEndpoints() {
    said.add("fetch list");
  }
}
