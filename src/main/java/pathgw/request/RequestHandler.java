package pathgw.request;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import pathgw.codec.MetaCommand;
import pathgw.codec.MetaResponses;
import pathgw.decision.AttemptOutcome;
import pathgw.decision.DecisionEngine;
import pathgw.driver.DecisionDriver;
import pathgw.observability.RequestObserver;
import pathgw.transport.EventLoopTimers;
import pathgw.upstream.Attempt;
import pathgw.upstream.AttemptEnd;
import pathgw.upstream.UpstreamPools;

/** Carries requests through; all that is decided about them, the module decides. */
public final class RequestHandler {
  private static final Logger LOG = System.getLogger(RequestHandler.class.getName());

  private final EventLoopTimers timers;
  private final DecisionDriver driver;
  private final UpstreamPools pools;
  private final Duration slack;
  private final RequestObserver observer;
  private final Set<String> open = new HashSet<>();

  public RequestHandler(
      EventLoopTimers timers,
      DecisionDriver driver,
      UpstreamPools pools,
      Duration slack,
      RequestObserver observer) {
    this.timers = timers;
    this.driver = driver;
    this.pools = pools;
    this.slack = slack;
    this.observer = observer;
  }

  /** What one request owes and has out. */
  private static final class State {
    final List<Attempt> attempts = new ArrayList<>(2);
    final String name;
    long id;
    boolean answered;
    EventLoopTimers.Timer last;

    State(String name) {
      this.name = name;
    }
  }

  /** The life of one request, from the command that was read to the one answer that ends it. */
  public void handle(MetaCommand command, PendingResponse response) {
    // Under one id a node's answer could not be told from that to the other request.
    if (!open.add(command.id)) {
      response.answer(MetaResponses.malformed("id in use"));
      return;
    }
    State state = new State(command.id);
    Duration due = timers.now().minus(timers.lag()).plus(command.wait);
    state.id =
        driver.open(
            new DecisionDriver.RequestActions() {
              @Override
              public void attempt(Duration patience, Duration sendWithin, long node) {
                int number = state.attempts.size();
                observer.attemptStarted(command.id, number);
                Duration sent = timers.now();
                Attempt attempt =
                    new Attempt(
                        timers,
                        command,
                        patience,
                        sendWithin,
                        (end, answer) -> {
                          observer.ended(command.id, end.name());
                          if (end.how() == AttemptOutcome.SERVED && !state.answered) {
                            answer(state, "delivered", () -> response.answer(answer));
                          }
                          boolean over = state.answered;
                          Duration lag = timers.now().minus(sent);
                          driver.submit(
                              engine -> {
                                engine.attemptEnded(state.id, number, end.how(), lag, over);
                                forget(state);
                              });
                        });
                state.attempts.add(attempt);
                // The answer may have gone out while the module decided: nothing is sent after it.
                if (state.answered) {
                  attempt.end(AttemptEnd.NOT_TRIED);
                } else {
                  pools.send(node, attempt);
                }
              }

              @Override
              public void cancel(int attempt) {
                state.attempts.get(attempt).cancel();
              }

              @Override
              public void reject(Duration retryAfter) {
                observer.decided(command.id);
                answer(state, "denied", () -> response.answer(MetaResponses.rejected(retryAfter)));
              }

              @Override
              public void fail() {
                observer.decided(command.id);
                answer(state, "written-off", () -> response.answer(MetaResponses.FAILED));
              }
            });
    // Nothing is owed to a client that has gone, but what is out for it would go on taking room.
    response.whenGone(() -> lapse(state, () -> {}));
    // Guards against a module that failed while it held this request: one answer is owed all the
    // same.
    // What lay unread until it was over is the module's to reject.
    Duration now = timers.now();
    Duration guarded = due.compareTo(now) < 0 ? now : due;
    state.last =
        timers.scheduleAt(
            guarded.plus(slack.dividedBy(2)),
            () -> {
              LOG.log(Level.ERROR, () -> "access " + command.id + " had no answer when it was due");
              lapse(state, () -> response.answer(MetaResponses.FAILED));
            });
    driver.submit(
        engine ->
            engine.requestArrived(
                state.id,
                command.requestClass,
                command.tenant,
                command.keyHash(),
                due,
                Duration.ZERO,
                command.repeat,
                command.write));
  }

  private void answer(State state, String how, Runnable what) {
    end(state, how, what, engine -> {});
  }

  private void lapse(State state, Runnable what) {
    end(state, "lapsed", what, engine -> engine.requestAbandoned(state.id));
  }

  private void end(State state, String how, Runnable what, Consumer<DecisionEngine> input) {
    if (!state.answered) {
      state.answered = true;
      observer.answered(state.name, how, state.attempts.size());
      timers.cancel(state.last);
      what.run();
      // One that comes up after the answer, or after its client has gone, would begin for nobody.
      List.copyOf(state.attempts).forEach(Attempt::cancelIfNotBegun);
      driver.submit(input.andThen(engine -> forget(state)));
    }
  }

  /** Only ever as an input: in between the module may be deciding about this request. */
  private void forget(State state) {
    if (state.answered && state.attempts.stream().allMatch(Attempt::over)) {
      driver.close(state.id);
      open.remove(state.name);
    }
  }
}
