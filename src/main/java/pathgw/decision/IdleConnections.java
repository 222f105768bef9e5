package pathgw.decision;

import java.time.Duration;

/**
 * Closes idle connections where an open one costs capacity at its node. The timeout shrinks when a
 * node refuses a connection, and that node is left out meanwhile.
 */
final class IdleConnections {
  private static final double START_FRACTION = 0.2;
  private static final double MIN_TIMEOUT_SECONDS = 0.2;
  private static final double INCREASE_SECONDS = 0.005;
  private static final double DECREASE = 0.8;

  private final DecisionContext context;
  private final EndpointPolling polling;

  /** Infinite where open connections cost nothing. */
  private double timeoutSeconds = Double.POSITIVE_INFINITY;

  IdleConnections(DecisionContext context, EndpointPolling polling) {
    this.context = context;
    this.polling = polling;
  }

  /** Lists the ready nodes anew and adapts the timeout to their number. */
  void endpointsChanged() {
    context.endpoints.refreshReady();
    double most = maxTimeoutSeconds();
    timeoutSeconds = hasTimeout() ? Math.min(timeoutSeconds, most) : START_FRACTION * most;
  }

  private boolean hasTimeout() {
    return !Double.isInfinite(timeoutSeconds);
  }

  /** At this age an open connection has cost as much as a new one, spread over all requests. */
  private double maxTimeoutSeconds() {
    Settings settings = context.settings;
    double measured = context.requestRate.perSecond() * settings.proxies();
    double requests = Math.max(1, context.totalQuota > 0 ? context.totalQuota : measured);
    double openCost = context.endpoints.perNode(settings.openPrice() / 100 * requests);
    return openCost == 0
        ? Double.POSITIVE_INFINITY
        : Math.max(MIN_TIMEOUT_SECONDS, settings.handshakePrice() / openCost);
  }

  void attemptEnded(AttemptState attempt) {
    if (attempt.outcome == AttemptOutcome.CONNECT_FAILED) {
      connectFailed(attempt.node);
    } else {
      mayBeIdle(attempt.node);
    }
  }

  /** A node that refuses may only be full of others' idle connections, which time out as ours. */
  private void connectFailed(NodeState node) {
    node.excluded = true;
    endpointsChanged();
    if (!hasTimeout()) {
      polling.requestPoll();
      return;
    }
    // The list is not polled here: with a proxy at each client it could not serve them all.
    timeoutSeconds = Math.max(MIN_TIMEOUT_SECONDS, timeoutSeconds * DECREASE);
    context.schedule(timeoutSeconds, () -> readmit(node));
  }

  private void readmit(NodeState node) {
    node.excluded = false;
    endpointsChanged();
  }

  private void mayBeIdle(NodeState node) {
    timeoutSeconds = Math.min(maxTimeoutSeconds(), timeoutSeconds + INCREASE_SECONDS);
    if (node.inFlight > 0 || !hasTimeout()) {
      return;
    }
    Duration since = context.now;
    node.idleSince = since;
    context.schedule(timeoutSeconds, () -> closeIfStillIdle(node, since));
  }

  @SuppressWarnings("ReferenceEquality") // Two idle periods may begin at equal times.
  private void closeIfStillIdle(NodeState node, Duration since) {
    if (node.inFlight == 0 && node.idleSince == since) {
      context.addAction(sink -> sink.closeIdle(node.id));
    }
  }
}
