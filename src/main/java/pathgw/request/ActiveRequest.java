package pathgw.request;

import io.vertx.core.buffer.Buffer;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import pathgw.codec.MetaCommand;
import pathgw.codec.MetaResponses;
import pathgw.decision.AttemptOutcome;
import pathgw.decision.DecisionEngine;
import pathgw.driver.DecisionDriver;
import pathgw.observability.RequestObserver;
import pathgw.observability.RequestOutcome;
import pathgw.transport.EventLoopTimers;
import pathgw.upstream.Attempt;
import pathgw.upstream.AttemptEnd;

/**
 * One request between its arrival and the end of its last attempt. It carries out what the decision
 * engine decides about it, and sends its client at most one response: the first to come ends the
 * request, and whatever follows only ends attempts.
 */
final class ActiveRequest implements DecisionDriver.RequestActions {
  private static final Logger LOG = System.getLogger(ActiveRequest.class.getName());

  private final RequestHandler handler;
  private final EventLoopTimers timers;
  private final DecisionDriver driver;
  private final RequestObserver observer;
  private final MetaCommand command;
  private final PendingResponse response;
  private final List<Attempt> attempts = new ArrayList<>(2);
  private long engineId;
  private boolean ended;
  private EventLoopTimers.Timer undecidedTimer;

  ActiveRequest(RequestHandler handler, MetaCommand command, PendingResponse response) {
    this.handler = handler;
    this.command = command;
    this.response = response;
    timers = handler.timers();
    driver = handler.driver();
    observer = handler.observer();
  }

  /**
   * Hands the request to the decision engine.
   *
   * @param deadline when the client stops waiting, on the event loop's clock
   */
  void start(Duration deadline) {
    engineId = driver.open(this);
    // Nothing is owed to a client that has gone, but its attempts would go on using capacity.
    response.onClientGone(() -> abandon(() -> {}));
    undecidedTimer = timers.scheduleAt(undecidedAt(deadline), this::failUndecided);
    driver.submit(
        engine ->
            engine.requestArrived(
                engineId,
                command.requestClass(),
                command.tenant(),
                command.keyHash(),
                deadline,
                Duration.ZERO,
                command.isRetry(),
                command.isWrite()));
  }

  /** A request read after its deadline is for the engine to reject, so it is given the grace. */
  private Duration undecidedAt(Duration deadline) {
    Duration now = timers.now();
    Duration from = deadline.compareTo(now) < 0 ? now : deadline;
    return from.plus(handler.undecidedGrace());
  }

  /** A fault in the decision engine must not leave a client without its response. */
  private void failUndecided() {
    LOG.log(Level.ERROR, () -> "request " + command.id() + " undecided past its deadline, failed");
    abandon(() -> response.complete(MetaResponses.FAILED));
  }

  @Override
  public void attempt(Duration attemptTimeout, Duration sendWithin, long node) {
    int number = attempts.size();
    observer.attemptStarted(command.id(), number);
    Duration startedAt = timers.now();
    Attempt attempt =
        new Attempt(
            timers,
            command,
            attemptTimeout,
            sendWithin,
            (end, bytes) -> attemptEnded(number, startedAt, end, bytes));
    attempts.add(attempt);
    // The response may have gone out while the engine decided: nothing is sent after it.
    if (ended) {
      attempt.end(AttemptEnd.NOT_TRIED);
    } else {
      handler.pools().send(node, attempt);
    }
  }

  private void attemptEnded(int number, Duration startedAt, AttemptEnd end, Buffer bytes) {
    observer.attemptEnded(command.id(), end.name());
    if (end.outcome() == AttemptOutcome.SERVED && !ended) {
      end(RequestOutcome.SERVED, () -> response.complete(bytes));
    }
    boolean requestEnded = ended;
    Duration latency = timers.now().minus(startedAt);
    driver.submit(
        engine -> {
          engine.attemptEnded(engineId, number, end.outcome(), latency, requestEnded);
          closeIfOver();
        });
  }

  @Override
  public void cancel(int attempt) {
    attempts.get(attempt).cancel();
  }

  @Override
  public void reject(Duration retryAfter) {
    observer.requestRejectedOrFailed(command.id());
    end(RequestOutcome.REJECTED, () -> response.complete(MetaResponses.rejected(retryAfter)));
  }

  @Override
  public void fail() {
    observer.requestRejectedOrFailed(command.id());
    end(RequestOutcome.FAILED, () -> response.complete(MetaResponses.FAILED));
  }

  /** Ends the request without a decision, which the engine is told of. */
  private void abandon(Runnable respond) {
    end(RequestOutcome.ABANDONED, respond, engine -> engine.requestAbandoned(engineId));
  }

  private void end(RequestOutcome outcome, Runnable respond) {
    end(outcome, respond, engine -> {});
  }

  private void end(RequestOutcome outcome, Runnable respond, Consumer<DecisionEngine> input) {
    if (ended) {
      return;
    }
    ended = true;
    observer.requestEnded(command.id(), outcome, attempts.size());
    timers.cancel(undecidedTimer);
    respond.run();
    // An attempt still waiting for its connection would start for nobody.
    List.copyOf(attempts).forEach(Attempt::cancelIfNotStarted);
    driver.submit(input.andThen(engine -> closeIfOver()));
  }

  /**
   * Forgets the request once it has ended with all its attempts. Runs as an input of the decision
   * engine only: between two inputs the engine may be deciding about this request.
   */
  private void closeIfOver() {
    if (ended && attempts.stream().allMatch(Attempt::ended)) {
      driver.close(engineId);
      handler.releaseId(command.id());
    }
  }
}
