package pathgw.decision;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import pathgw.algorithm.BetaPosterior;
import pathgw.algorithm.Durations;
import pathgw.algorithm.RendezvousHash;
import pathgw.decision.Settings.RequestClass;

/** One request from its arrival until all of its attempts have ended. */
final class RequestState {
  final long id;

  /** Requests are numbered in the order of their arrival. */
  final long arrivalOrder;

  final RequestClass requestClass;
  final RequestClassState classState;
  final int tenant;

  /** The cache key, or 0 if the request has none. */
  final long key;

  final Duration deadline;

  /** Whether the client has sent it before. */
  final boolean clientRetry;

  final boolean write;

  /** How much longer than the mean of its class it should take. */
  double workScale = 1;

  /** The time by which an answer meets the latency objective. */
  Duration objectiveAt;

  /** The time at which the request gets its final response if it has none by then. */
  Duration giveUpAt;

  NextStep nextStep = NextStep.ADMIT;
  boolean ended;
  boolean streaming;

  /** Ready nodes in score order as of {@link #rankingVersion}. */
  List<NodeState> ranking;

  long rankingVersion = -1;
  final List<AttemptState> attempts = new ArrayList<>(2);

  /** Requests that wait for this one's origin fetch. */
  List<RequestState> waiters = new ArrayList<>();

  boolean hasWaited;

  /** What this request's result will be added to, if one of its attempts has timed out. */
  BetaPosterior timeoutResults;

  RequestState(
      long id,
      long arrivalOrder,
      RequestClass requestClass,
      RequestClassState classState,
      int tenant,
      long key,
      Duration deadline,
      boolean clientRetry,
      boolean write) {
    this.id = id;
    this.arrivalOrder = arrivalOrder;
    this.requestClass = requestClass;
    this.classState = classState;
    this.tenant = tenant;
    this.key = key;
    this.deadline = deadline;
    this.clientRetry = clientRetry;
    this.write = write;
  }

  /** The key as it is hashed; a request without one is spread by its id. */
  byte[] hashKey() {
    return RendezvousHash.key(key != 0 ? key : id);
  }

  /**
   * Whether it is a repeat whose timeout differs from that of first tries by more than {@code
   * tolerance}; the timeout of a first try is kept to compare with.
   */
  boolean differsFromFirstTry(Duration now, Duration tolerance) {
    Duration timeout = deadline.minus(now);
    if (!clientRetry) {
      classState.firstTryTimeout = timeout;
    }
    Duration difference = timeout.minus(classState.firstTryTimeout).abs();
    return clientRetry && Durations.before(tolerance, difference);
  }

  /** Whether an answer at this time meets the latency objective. */
  boolean meetsObjectiveAt(Duration now) {
    return !Durations.before(objectiveAt, now);
  }

  boolean hasAttempted(NodeState node) {
    return attempts.stream().anyMatch(attempt -> attempt.node == node);
  }

  AttemptState lastAttempt() {
    return attempts.get(attempts.size() - 1);
  }

  boolean hasAttemptInFlight() {
    for (AttemptState attempt : attempts) {
      if (attempt.outcome == null) {
        return true;
      }
    }
    return false;
  }

  List<AttemptState> attemptsInFlight() {
    return attempts.stream().filter(attempt -> attempt.outcome == null).toList();
  }

  /** Takes up whether it was served in time, if one of its attempts had timed out. */
  void recordResult(boolean inTime) {
    if (timeoutResults != null) {
      timeoutResults.add(inTime);
    }
  }

  /** What the next decision on a request is about. */
  enum NextStep {
    /** It has arrived: admit it and choose a cache node. */
    ADMIT,
    /** Its attempt has failed: retry it elsewhere if the retry budget allows. */
    RETRY,
    /** The fetch that it waited for is stored: ask the cache node again. */
    ASK_CACHE_AGAIN,
    /** It needs a value from the origin: fetch it, or wait for another request's fetch. */
    FETCH,
    /** Its time is up: give the final response. */
    END,
    /** Nothing until one of its attempts ends. */
    NOTHING
  }
}
