package pathgw.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Requests that wait for an origin fetch: for their own, in the order of their priority, or for
 * that of another request for the same key, its leader. It only keeps who waits and chooses
 * nothing.
 */
final class FetchQueue {
  private final Map<Long, RequestState> leadersByKey = new HashMap<>();
  private final TreeSet<RequestState> queue =
      new TreeSet<>(
          Comparator.comparingDouble((RequestState r) -> -r.requestClass.priorityWeight())
              .thenComparingLong(r -> r.arrivalOrder));

  /** The request whose fetch of the same key is under way, or null; else this one leads now. */
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

  /** Ends a request's lead and returns those who waited for it. */
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

  /** Takes the first in the queue, which must not be empty. */
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
