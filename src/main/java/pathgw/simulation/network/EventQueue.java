package pathgw.simulation.network;

import java.util.PriorityQueue;

/**
 * The pending events of one run, by time and then by the order in which they were scheduled.
 *
 * <p>Times are virtual nanoseconds since the run began; the clock moves only from event to event.
 */
public final class EventQueue {
  /** Something that will happen to a process, or to the world if {@code owner} is null. */
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

    /** The action will not run, if it has not run yet. */
    public void cancel() {
      action = null;
    }

    /** Runs the action once; a stalled process runs it late, when it may have been cancelled. */
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

  /** Virtual nanoseconds since the run began. */
  public long now() {
    return nowNanos;
  }

  /** Schedules an action at a time, or now if that time has passed. */
  public Event scheduleAtNanos(long atNanos, VirtualProcess owner, Runnable action) {
    Event event = new Event(Math.max(nowNanos, atNanos), nextOrder++, owner, action);
    queue.add(event);
    return event;
  }

  /** Schedules an action after a delay in nanoseconds. */
  public Event scheduleInNanos(long delayNanos, VirtualProcess owner, Runnable action) {
    return scheduleAtNanos(nowNanos + delayNanos, owner, action);
  }

  /** The process to which the last event happened; null for the world. */
  public VirtualProcess lastEventOwner() {
    return lastEventOwner;
  }

  /** Runs the next event; false once none is left up to {@code endNanos}. */
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
