package pathgw.simulation;

import java.util.PriorityQueue;

/**
 * All that is still to happen in one run, by time and then by the order in which it was asked for.
 */
final class EventQueue {
  /** Something to happen to a process, or to the world where {@code owner} is null. */
  static final class Event implements Comparable<Event> {
    private final long at;
    private final long order;
    private final VirtualProcess owner;
    private Runnable what;

    private Event(long at, long order, VirtualProcess owner, Runnable what) {
      this.at = at;
      this.order = order;
      this.owner = owner;
      this.what = what;
    }

    void cancel() {
      what = null;
    }

    /**
     * Only now, since a process that stands still gets it later, when it may have been cancelled.
     */
    void happen() {
      Runnable due = what;
      what = null;
      if (due != null) {
        due.run();
      }
    }

    @Override
    public int compareTo(Event other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  private final PriorityQueue<Event> queue = new PriorityQueue<>();
  private long now;
  private long order;
  private VirtualProcess last;

  long now() {
    return now;
  }

  Event at(long at, VirtualProcess owner, Runnable what) {
    Event event = new Event(Math.max(now, at), order++, owner, what);
    queue.add(event);
    return event;
  }

  Event in(long span, VirtualProcess owner, Runnable what) {
    return at(now + span, owner, what);
  }

  /** To which process the last thing happened; null for the world. */
  VirtualProcess last() {
    return last;
  }

  /** Lets the next thing happen; false once nothing is left before {@code end}. */
  boolean step(long end) {
    Event next = queue.peek();
    if (next == null || next.at > end) {
      now = Math.max(now, end);
      return false;
    }
    queue.poll();
    now = next.at;
    last = next.owner;
    if (next.owner == null) {
      next.happen();
    } else {
      next.owner.take(next);
    }
    return true;
  }
}
