package pathgw.simulation.network;

import java.util.PriorityQueue;

/**
 * The pending events of one run, ordered by time and then by the order in which they were
 * scheduled.
 *
 * <p>Times are virtual nanoseconds since the run began. The clock advances only from event to
 * event.
 */
public final class EventQueue {
  /** An event of a process, or of the simulation itself if {@code owner} is null. */
  public static final class Event implements Comparable<Event> {
    private final long atNanos;
    private final long order;
    private final VirtualProcess owner;
    private Runnable action;

    private Event(long atNanos, long order, VirtualProcess owner, Runnable action) {
      this.atNanos = atNanos;
      this.order = order;
      this.owner = owner;
      this.action = action;
    }

    /** Cancels the action if it has not run yet. */
    public void cancel() {
      action = null;
    }

    /**
     * Runs the action once. A stalled process runs it late, and it may have been cancelled by then.
     */
    void run() {
      Runnable due = action;
      action = null;
      if (due != null) {
        due.run();
      }
    }

    @Override
    public int compareTo(Event other) {
      return atNanos != other.atNanos
          ? Long.compare(atNanos, other.atNanos)
          : Long.compare(order, other.order);
    }
  }

  private final PriorityQueue<Event> queue = new PriorityQueue<>();
  private long nowNanos;
  private long nextOrder;
  private VirtualProcess lastEventOwner;

  /** Returns the virtual time in nanoseconds since the run began. */
  public long now() {
    return nowNanos;
  }

  /**
   * Schedules an action at a time, or now if that time has passed.
   *
   * @param atNanos virtual nanoseconds since the run began
   * @param owner the process that runs the action; null for the simulation itself
   */
  public Event scheduleAtNanos(long atNanos, VirtualProcess owner, Runnable action) {
    Event event = new Event(Math.max(nowNanos, atNanos), nextOrder++, owner, action);
    queue.add(event);
    return event;
  }

  /** Schedules an action after a delay; see {@link #scheduleAtNanos}. */
  public Event scheduleInNanos(long delayNanos, VirtualProcess owner, Runnable action) {
    return scheduleAtNanos(nowNanos + delayNanos, owner, action);
  }

  /**
   * Returns the process that owned the last event; null if it belonged to the simulation itself.
   */
  public VirtualProcess lastEventOwner() {
    return lastEventOwner;
  }

  /**
   * Runs the next event that is due by {@code endNanos}.
   *
   * @return whether there was one; if not, the clock is set to {@code endNanos}
   */
  public boolean step(long endNanos) {
    Event next = queue.peek();
    if (next == null || next.atNanos > endNanos) {
      nowNanos = Math.max(nowNanos, endNanos);
      return false;
    }
    queue.poll();
    nowNanos = next.atNanos;
    lastEventOwner = next.owner;
    if (next.owner == null) {
      next.run();
    } else {
      next.owner.handle(next);
    }
    return true;
  }
}
