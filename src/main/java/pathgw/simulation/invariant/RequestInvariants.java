package pathgw.simulation.invariant;

import static pathgw.simulation.invariant.RunContext.MAX_TRANSIT_NANOS;
import static pathgw.simulation.invariant.RunContext.NANOS_PER_MILLI;
import static pathgw.simulation.invariant.RunContext.SOCKET_ALLOWANCE_NANOS;

import java.time.Duration;
import pathgw.fake.Request;

/**
 * Rule 1: each request gets exactly one response, which belongs to it and comes in time, and no
 * work starts for a request that has ended.
 */
final class RequestInvariants {
  private static final int RULE = 1;

  /** How long after its client has left an attempt may still start, even if the proxy stalled. */
  private static final long CLIENT_LEFT_ALLOWANCE_NANOS = 100_000_000;

  /** How far the remaining time that an attempt announces to its target may exceed the client's. */
  private static final long ANNOUNCED_TIME_ALLOWANCE_NANOS = 150_000_000;

  /**
   * Within this time a client that sends an invalid command must get an error line or be
   * disconnected.
   */
  private static final long MAX_INVALID_CLIENT_WAIT_NANOS = 3_000_000_000L;

  /**
   * The assumed waiting time of an invalid client that got neither an error line nor a disconnect.
   */
  private static final long UNANSWERED_WAIT_NANOS = 3_600_000_000L;

  private static final char REMAINING_MILLIS_LABEL = 'd';

  private final RunContext run;

  RequestInvariants(RunContext run) {
    this.run = run;
  }

  private void reportViolation(String kind, String text) {
    run.violations.report(RULE, kind, text);
  }

  /**
   * Checks an attempt.
   *
   * @param startedAtNanos when its first byte was written
   */
  void attemptSent(
      int proxy, RequestRecord request, String target, Request command, long startedAtNanos) {
    checkNotEnded(proxy, request, target, startedAtNanos);
    checkDeadline(request, target, startedAtNanos);
    checkAnnouncedTime(request, target, command, startedAtNanos);
    if (request.attempts.size() >= run.limits.maxAttempts()) {
      reportViolation(
          "many", request.id() + " has more than " + run.limits.maxAttempts() + " attempts");
    }
  }

  private void checkNotEnded(int proxy, RequestRecord request, String target, long startedAtNanos) {
    boolean afterEnd = startedAtNanos > request.endedAtNanos + MAX_TRANSIT_NANOS;
    if (afterEnd && run.cluster.stalledUntilNanos(proxy) < request.endedAtNanos) {
      reportViolation(
          "after", request.id() + " was forwarded to " + target + " after it had ended");
    }
    long leftAllowance = CLIENT_LEFT_ALLOWANCE_NANOS + 2 * MAX_TRANSIT_NANOS;
    if (request.clientLeft && startedAtNanos > request.endedAtNanos + leftAllowance) {
      long elapsedMs = (startedAtNanos - request.endedAtNanos) / NANOS_PER_MILLI;
      reportViolation(
          "gone",
          String.format(
              "%s was forwarded to %s %d ms after its client left",
              request.id(), target, elapsedMs));
    }
  }

  private void checkDeadline(RequestRecord request, String target, long startedAtNanos) {
    long latestStartNanos =
        request.deadlineNanos() + run.limits.responseSlackNanos() + SOCKET_ALLOWANCE_NANOS;
    if (startedAtNanos > latestStartNanos) {
      reportViolation(
          "late-hand-off", request.id() + " was forwarded to " + target + " after its deadline");
    }
  }

  /**
   * Checks the remaining time in the attempt's labels against the time until the client's deadline.
   */
  private void checkAnnouncedTime(
      RequestRecord request, String target, Request command, long startedAtNanos) {
    String announcedMs = command.label(REMAINING_MILLIS_LABEL);
    if (announcedMs.isEmpty()) {
      return;
    }
    long remaining = request.deadlineNanos() - startedAtNanos;
    if (Long.parseLong(announcedMs) * NANOS_PER_MILLI
        > remaining + ANNOUNCED_TIME_ALLOWANCE_NANOS) {
      reportViolation(
          "time-told",
          String.format(
              "%s announced a remaining time of %s ms to %s although its client waits only %d ms",
              request.id(), announcedMs, target, remaining / NANOS_PER_MILLI));
    }
  }

  /** Reports a response that a client received without an open request. */
  void unexpectedResponse(int proxy, String response) {
    reportViolation(
        "two-answers",
        "p" + proxy + " sent a response to a client that had no open request: " + response);
  }

  /** Checks that a response came before the deadline plus the allowances. */
  void responded(int proxy, RequestRecord request) {
    long now = run.nowNanos();
    long lateNanos =
        now
            - request.deadlineNanos()
            - run.limits.responseSlackNanos()
            - SOCKET_ALLOWANCE_NANOS
            - MAX_TRANSIT_NANOS;
    long stallAllowanceEndNanos =
        run.cluster.stalledUntilNanos(proxy) + MAX_TRANSIT_NANOS + SOCKET_ALLOWANCE_NANOS;
    if (lateNanos > 0 && now > stallAllowanceEndNanos) {
      reportViolation(
          "late", request.id() + " was answered " + lateNanos / NANOS_PER_MILLI + " ms too late");
    }
  }

  /** Checks that the value or receipt in a response was created for this request. */
  void served(RequestRecord request, ClientResponse response) {
    boolean containsRequestId = response.line().contains(" O" + request.id());
    if (!containsRequestId || !request.createdResponses.contains(response.payload())) {
      reportViolation(
          "another's",
          request.id() + " was served a response that was not created for it: " + response.line());
    }
  }

  /** Checks a rejection or an error response. */
  void notServed(int proxy, RequestRecord request, ClientResponse response) {
    if (response.isClientError()) {
      reportViolation(
          "refused", request.id() + " is a valid command but was answered " + response.line());
    }
    if (!request.isDecided()) {
      return;
    }
    long now = run.nowNanos();
    long decidedAt = request.decidedAtNanos();
    if (now > Math.max(decidedAt, run.cluster.stalledUntilNanos(proxy)) + MAX_TRANSIT_NANOS) {
      reportViolation(
          "held-back",
          String.format(
              "%s was decided %d ms before its client got the response",
              request.id(), (now - decidedAt) / NANOS_PER_MILLI));
    }
  }

  /**
   * Checks a connection that ended before the response was complete.
   *
   * @param commandRead whether the proxy had read the command, as far as that is known
   */
  void connectionLost(int proxy, RequestRecord request, boolean commandRead) {
    long sentAt = request.clientAttempt.sentAt().toNanos();
    boolean proxyDied = run.cluster.isDead(proxy) || run.cluster.startedAtNanos(proxy) > sentAt;
    // A close that crosses the command on the network loses no accepted request. If the command had
    // arrived well before the close, the request is lost.
    boolean crossed = !commandRead && run.nowNanos() - sentAt < MAX_TRANSIT_NANOS;
    boolean unserved = request.attempts.isEmpty() && request.clientAttempt.firstOnConnection();
    run.counters.count(lossCounterName(proxyDied, crossed, unserved));
    if (!crossed && !proxyDied && !unserved) {
      reportViolation(
          "lost",
          "p"
              + proxy
              + " accepted "
              + request.id()
              + " and ended the connection without a response");
    }
  }

  private static String lossCounterName(boolean proxyDied, boolean crossed, boolean unserved) {
    if (proxyDied) {
      return "connection lost with its proxy";
    }
    if (crossed) {
      return "connection closed as the command came";
    }
    return unserved ? "connection closed unserved" : "request lost";
  }

  /** Checks a request whose client gave up waiting, long after the deadline. */
  void neverAnswered(int proxy, RequestRecord request) {
    long sentAt = request.clientAttempt.sentAt().toNanos();
    boolean proxyDied = run.cluster.isDead(proxy) || run.cluster.startedAtNanos(proxy) > sentAt;
    boolean stalled =
        run.cluster.stalledUntilNanos(proxy) + MAX_TRANSIT_NANOS > request.deadlineNanos();
    if (!proxyDied && !stalled) {
      reportViolation("no-answer", "p" + proxy + " never answered " + request.id());
    }
  }

  /**
   * Checks a client that sent an invalid command, after it has ended.
   *
   * @param waited the time until an error line or the disconnect came; null if neither did
   */
  void invalidClientEnded(int proxy, String malformedInput, Duration waited, String response) {
    if (ClientResponse.of(response).isServed()) {
      reportViolation(
          "served-rude",
          "p" + proxy + " served an invalid command, " + malformedInput + ": " + response);
    }
    long waitStartNanos =
        run.nowNanos() - (waited == null ? UNANSWERED_WAIT_NANOS : waited.toNanos());
    boolean excused =
        run.cluster.isDead(proxy)
            || run.cluster.startedAtNanos(proxy) > waitStartNanos
            || run.cluster.stalledUntilNanos(proxy) > waitStartNanos;
    boolean tooLong = waited == null || waited.toNanos() > MAX_INVALID_CLIENT_WAIT_NANOS;
    if (!excused && tooLong) {
      reportViolation(
          "rude-alone",
          "p" + proxy + " neither answered nor disconnected an invalid client, " + malformedInput);
    }
  }

  /** Reports that a proxy has not completed its graceful shutdown within the limit. */
  void stopTimedOut(int proxy, long limitMs) {
    reportViolation("stop", "p" + proxy + " did not shut down within " + limitMs + " ms");
  }
}
