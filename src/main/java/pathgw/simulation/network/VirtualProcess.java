package pathgw.simulation.network;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import pathgw.fake.Clock;

/** One simulated process, from its start to its end. It handles one event at a time. */
public final class VirtualProcess implements Clock {
  private final String name;
  private final EventQueue events;
  private final Consumer<RuntimeException> exceptionHandler;
  private final Set<VirtualConnection> connections = new LinkedHashSet<>();
  private final ArrayDeque<EventQueue.Event> backlog = new ArrayDeque<>();
  private long stalledUntilNanos;
  private boolean dead;
  private boolean cutOff;

  /**
   * Creates a running process.
   *
   * @param exceptionHandler receives exceptions that the process's event handlers throw
   */
  public VirtualProcess(
      String name, EventQueue events, Consumer<RuntimeException> exceptionHandler) {
    this.name = name;
    this.events = events;
    this.exceptionHandler = exceptionHandler;
  }

  /** Returns the name, such as {@code p3} for a proxy or {@code n12} for a cache node. */
  public String name() {
    return name;
  }

  @Override
  public Duration now() {
    return Duration.ofNanos(events.now());
  }

  @Override
  public void schedule(Duration delay, Runnable action) {
    events.scheduleInNanos(delay.toNanos(), this, action);
  }

  void opened(VirtualConnection connection) {
    connections.add(connection);
  }

  void closed(VirtualConnection connection) {
    connections.remove(connection);
  }

  /** Handles an event now, or after the current stall; drops it if the process is dead. */
  void handle(EventQueue.Event event) {
    if (dead) {
      return;
    }
    if (events.now() < stalledUntilNanos || !backlog.isEmpty()) {
      backlog.add(event);
      return;
    }
    run(event);
  }

  private void run(EventQueue.Event event) {
    try {
      event.run();
    } catch (RuntimeException e) {
      exceptionHandler.accept(e);
    }
  }

  /**
   * Stalls the process: events until then are queued and handled in order afterwards.
   *
   * @param untilNanos virtual time at which the stall ends
   */
  public void stallUntil(long untilNanos) {
    stalledUntilNanos = Math.max(stalledUntilNanos, untilNanos);
    events.scheduleAtNanos(stalledUntilNanos, null, this::handleBacklog);
  }

  private void handleBacklog() {
    while (!dead && events.now() >= stalledUntilNanos && !backlog.isEmpty()) {
      run(backlog.poll());
    }
  }

  /** Returns when the last stall ended or will end, in virtual nanoseconds; 0 if there was none. */
  public long stalledUntilNanos() {
    return stalledUntilNanos;
  }

  /** Whether the process has ended. */
  public boolean isDead() {
    return dead;
  }

  /** Whether the process's machine is cut off from the network. */
  public boolean isCutOff() {
    return cutOff;
  }

  /** Ends the process; its machine resets the process's connections. */
  public void kill() {
    dead = true;
    backlog.clear();
    resetConnections();
  }

  /**
   * Cuts the machine off from the network: nothing arrives or leaves, and no remote end is
   * notified.
   */
  public void cutOff() {
    cutOff = true;
  }

  /** Reconnects the machine to the network; connections from before the cut are reset. */
  public void reconnect() {
    if (cutOff) {
      cutOff = false;
      resetConnections();
    }
  }

  private void resetConnections() {
    List.copyOf(connections).forEach(VirtualConnection::reset);
  }
}
