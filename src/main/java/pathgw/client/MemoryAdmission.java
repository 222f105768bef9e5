package pathgw.client;

import java.time.Duration;
import pathgw.algorithm.MemoryBudget;
import pathgw.transport.EventLoopTimers;

/**
 * Asks for the memory of one client's commands, and waits a short time for it. Nothing is read from
 * the client meanwhile.
 */
final class MemoryAdmission {
  /** What becomes of a command. */
  enum Decision {
    ADMITTED,
    REFUSED,
    /** The command is admitted or refused later. */
    WAITING
  }

  /** Receives a decision that was waited for. */
  interface Listener {
    /** The command is admitted; so many bytes have been added to the budget for it. */
    void admitted(long addedBytes);

    /** The command is refused. */
    void refused();
  }

  /** For how long a client may wait until one of its commands is admitted. */
  private static final Duration MAX_WAIT = Duration.ofMillis(100);

  private final MemoryBudget memory;
  private final EventLoopTimers timers;
  private final Listener listener;

  /** The wait for memory; null if the client does not wait, or its memory has been admitted. */
  private MemoryBudget.Waiter waiter;

  /** Ends the wait, or runs once memory has been admitted; null if the client does not wait. */
  private EventLoopTimers.Timer timer;

  private long waitingBytes;

  /** When the wait began that is going on or ended last. */
  private Duration waitingSince;

  /** Whether the last command was refused, so that the next one is refused without a wait. */
  private boolean refusing;

  /** For how long the command waited that was decided about last. */
  private Duration lastWait = Duration.ZERO;

  /** Creates the admission of a client that waits for nothing. */
  MemoryAdmission(MemoryBudget memory, EventLoopTimers timers, Listener listener) {
    this.memory = memory;
    this.timers = timers;
    this.listener = listener;
  }

  /** Asks for the memory of a command of which nothing is kept yet. */
  Decision request(long bytes) {
    lastWait = Duration.ZERO;
    if (memory.admits(bytes)) {
      refusing = false;
      return Decision.ADMITTED;
    }
    if (refusing) {
      return Decision.REFUSED;
    }
    waitingBytes = bytes;
    waitingSince = timers.now();
    waiter = memory.await(bytes, this::memoryAdded);
    timer = timers.schedule(MAX_WAIT, this::waitedInVain);
    return Decision.WAITING;
  }

  boolean isWaiting() {
    return timer != null;
  }

  /** For how long the command waited that was decided about last. */
  Duration lastWait() {
    return lastWait;
  }

  /** Refuses the command that waits, if any. */
  void stopWaiting() {
    if (isWaiting()) {
      cancel();
      refuse();
    }
  }

  /** Ends the wait without a decision. */
  void cancel() {
    if (isWaiting()) {
      boolean memoryAdded = waiter == null;
      endWait();
      if (memoryAdded) {
        memory.release(waitingBytes);
      }
    }
  }

  /** Reads on in the next iteration, since this is called wherever memory is released. */
  private void memoryAdded() {
    waiter = null;
    timers.cancel(timer);
    timer =
        timers.schedule(
            Duration.ZERO,
            () -> {
              endWait();
              listener.admitted(waitingBytes);
            });
  }

  private void waitedInVain() {
    endWait();
    if (memory.admits(waitingBytes)) {
      listener.admitted(0);
    } else {
      refuse();
    }
  }

  private void refuse() {
    refusing = true;
    listener.refused();
  }

  private void endWait() {
    timers.cancel(timer);
    timer = null;
    lastWait = timers.now().minus(waitingSince);
    if (waiter != null) {
      memory.cancel(waiter);
      waiter = null;
    }
  }
}
