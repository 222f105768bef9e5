package pathgw.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Requests that wait for an origin fetch: either for a slot, in the order of their priority weight,
 * or for the fetch of another request for the same key, its leader. It makes no decisions.
 */
final class FetchQueue {
  private final Map<Long, RequestState> leadersByKey = new HashMap<>();
  private final TreeSet<RequestState> queue =
      new TreeSet<>(
          Comparator.comparingDouble((RequestState r) -> -r.requestClass.priorityWeight())
              .thenComparingLong(r -> r.arrivalOrder));

  /**
   * Returns the leader, whose fetch of the same key the request now waits for. Returns null if the
   * request has to fetch by itself, as the leader if the key has none; a request waits for a leader
   * only once.
   */
  RequestState joinOrLead(RequestState request) {
    RequestState leader = leadersByKey.get(request.key);
    if (leader == null || leader == request || request.hasWaitedForLeader) {
      leadersByKey.putIfAbsent(request.key, request);
      return null;
    }
    request.hasWaitedForLeader = true;
    leader.waiters.add(request);
    return leader;
  }

  /** Ends the lead of a request and returns the requests that waited for it. */
  List<RequestState> release(RequestState request) {
    leadersByKey.remove(request.key, request);
    List<RequestState> waiters = request.waiters;
    request.waiters = new ArrayList<>();
    return waiters;
  }

  void add(RequestState request) {
    queue.add(request);
  }

  void remove(RequestState request) {
    queue.remove(request);
  }

  /** Removes and returns the first request of the queue, which must not be empty. */
  RequestState pollFirst() {
    return queue.pollFirst();
  }

  boolean isEmpty() {
    return queue.isEmpty();
  }

  int size() {
    return queue.size();
  }
}
