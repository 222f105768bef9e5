package pathgw.simulation;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import pathgw.fake.Clock;

/**
 * One process of the world, from one start to its end; what happens to it happens one after
 * another.
 */
final class VirtualProcess implements Clock {
  final String name;
  final Set<VirtualConnection> connections = new LinkedHashSet<>();
  private final EventQueue events;
  private final Consumer<RuntimeException> failed;
  private final ArrayDeque<EventQueue.Event> backlog = new ArrayDeque<>();
  private long stillUntil;
  private long stoodUntil;
  private boolean dead;
  private boolean cutOff;

  /**
   * @param failed hears of what one of its handlers threw
   */
  VirtualProcess(String name, EventQueue events, Consumer<RuntimeException> failed) {
    this.name = name;
    this.events = events;
    this.failed = failed;
  }

  @Override
  public Duration now() {
    return Duration.ofNanos(events.now());
  }

  @Override
  public void schedule(Duration span, Runnable what) {
    events.in(span.toNanos(), this, what);
  }

  void take(EventQueue.Event event) {
    if (dead) {
      return;
    }
    if (events.now() < stillUntil || !backlog.isEmpty()) {
      backlog.add(event);
      return;
    }
    happen(event);
  }

  private void happen(EventQueue.Event event) {
    try {
      event.happen();
    } catch (RuntimeException e) {
      failed.accept(e);
    }
  }

  /** It runs nothing until then; what comes meanwhile waits, in its order. */
  void standStill(long until) {
    stillUntil = Math.max(stillUntil, until);
    stoodUntil = stillUntil;
    events.at(stillUntil, null, this::goOn);
  }

  private void goOn() {
    while (!dead && events.now() >= stillUntil && !backlog.isEmpty()) {
      happen(backlog.poll());
    }
  }

  /** When it last stood still, to the end of that; zero if it never has. */
  long stoodUntil() {
    return stoodUntil;
  }

  boolean dead() {
    return dead;
  }

  boolean cutOff() {
    return cutOff;
  }

  /** Its connections are reset by the machine that it ran on. */
  void die() {
    dead = true;
    backlog.clear();
    List.copyOf(connections).forEach(VirtualConnection::reset);
  }

  /** The machine is cut off: nothing comes or goes, and nobody is told. */
  void cutOff(boolean cutOff) {
    if (this.cutOff && !cutOff) {
      this.cutOff = false;
      List.copyOf(connections).forEach(VirtualConnection::reset);
    }
    this.cutOff = cutOff;
  }
}
