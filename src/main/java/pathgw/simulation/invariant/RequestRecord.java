package pathgw.simulation.invariant;

import java.util.ArrayList;
import java.util.List;
import pathgw.fake.client.ClientAttempt;

/** All that is known of one request, from its arrival at a proxy to its end. */
final class RequestRecord {
  /** One attempt that a proxy wrote completely to a cache node or the origin. */
  static final class AttemptRecord {
    final String target;
    final long sentAtNanos;

    /** Whether the target reported that it did not run this attempt. */
    boolean neverRan;

    AttemptRecord(String target, long sentAtNanos) {
      this.target = target;
      this.sentAtNanos = sentAtNanos;
    }
  }

  /** The end time of a request that has not ended: adding a duration to it does not overflow. */
  private static final long NOT_ENDED = Long.MAX_VALUE / 2;

  private static final long NOT_DECIDED = -1;

  final ClientAttempt clientAttempt;
  final List<AttemptRecord> attempts = new ArrayList<>(2);

  /** Values and receipts that were created for this request and may be sent as its response. */
  final List<String> createdResponses = new ArrayList<>(2);

  /** When the client got its response, left, or lost its connection. */
  long endedAtNanos = NOT_ENDED;

  /** How often a target applied the request, if it is a write. */
  int appliedWrites;

  /** Whether a read missed at a node that was warming up. */
  boolean missedAtColdNode;

  boolean clientLeft;
  private long decidedAtNanos = NOT_DECIDED;

  RequestRecord(ClientAttempt clientAttempt) {
    this.clientAttempt = clientAttempt;
  }

  String id() {
    return clientAttempt.id();
  }

  long deadlineNanos() {
    return clientAttempt.deadline().toNanos();
  }

  /**
   * Records that the proxy decided to reject or fail the request; only the first decision counts.
   */
  void markDecided(long atNanos) {
    if (!isDecided()) {
      decidedAtNanos = atNanos;
    }
  }

  boolean isDecided() {
    return decidedAtNanos >= 0;
  }

  long decidedAtNanos() {
    return decidedAtNanos;
  }

  /**
   * Marks the oldest open attempt at a target as not run: the target rejected it, or a read missed.
   */
  void markNeverRan(String target) {
    for (AttemptRecord attempt : attempts) {
      if (attempt.target.equals(target) && !attempt.neverRan) {
        attempt.neverRan = true;
        return;
      }
    }
  }

  /** Whether a target may have run the request, as far as a proxy can know. */
  boolean mayHaveRun() {
    return attempts.stream().anyMatch(attempt -> !attempt.neverRan);
  }
}
