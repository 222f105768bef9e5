package pathgw.client;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.function.Function;
import pathgw.algorithm.Durations;
import pathgw.algorithm.MemoryBudget;
import pathgw.transport.Connection;
import pathgw.transport.EventLoopTimers;

/**
 * What one client has sent and what has not been handled of it. Decides when more is read from the
 * client: not while too many responses are pending, and not while a command waits for memory.
 */
final class ClientInput {
  /** The connection that the input belongs to. */
  interface Owner {
    /** Commands have been read; writes the responses that are complete. */
    void inputRead();

    /** Bytes that were added to the memory budget are accounted for by this input from now on. */
    void takenOver(long addedBytes);
  }

  /**
   * For how long nothing must have come from a client, once reading was paused, until all that it
   * has written can be taken for received: it may have written more than the kernel takes, and the
   * rest is on its way only since reading was resumed.
   */
  private static final Duration SETTLE_TIME = Duration.ofMillis(30);

  /** For how long further bytes of an incomplete command are waited for. */
  private static final Duration MAX_PAUSE_WITHIN_COMMAND = Duration.ofMillis(100);

  /** A client that takes longer than this for one command is not waited for. */
  private static final Duration MAX_COMMAND_DURATION = Duration.ofMillis(500);

  /**
   * How many bytes behind the commands that are handled are read at most, so that the close of a
   * client which has left is seen behind them.
   */
  private static final int MAX_READ_AHEAD_BYTES = 1 << 20;

  private final Connection connection;
  private final EventLoopTimers timers;
  private final MemoryBudget memory;
  private final Owner owner;
  private final MemoryAdmission admission;
  private final CommandReader commands;
  private Duration lastReceivedAt;
  private long receiveCount;

  /** Whether bytes that the client had written may have been on their way when reading resumed. */
  private boolean backlogged;

  private Duration resumedAt = Duration.ZERO;

  /** When the first bytes of an incomplete command were received, or reading was resumed. */
  private Duration partialCommandSince = Duration.ZERO;

  /** Whether too many responses are pending. */
  private boolean paused;

  private Duration pausedAt = Duration.ZERO;

  /** For how long reading was paused before the commands that are being read now. */
  private Duration pausedFor = Duration.ZERO;

  /** Whether commands are being read; their responses are written together afterwards. */
  private boolean reading;

  private boolean resuming;
  private EventLoopTimers.Timer nextTurnTimer;

  /**
   * Creates the input of a connection from which nothing has been read.
   *
   * @param handler creates what receives the commands, given the admission of writes
   */
  ClientInput(
      Connection connection,
      EventLoopTimers timers,
      MemoryBudget memory,
      Owner owner,
      Function<MemoryAdmission, CommandReader.Handler> handler) {
    this.connection = connection;
    this.timers = timers;
    this.memory = memory;
    this.owner = owner;
    admission = new MemoryAdmission(memory, timers, new AwaitedWrite());
    commands = new CommandReader(handler.apply(admission));
    lastReceivedAt = timers.now();
  }

  // What has not been handled.

  /** Whether an incomplete command has been received. */
  boolean hasPartialCommand() {
    return commands.hasPartialCommand();
  }

  /** Whether no bytes have been read that wait to be handled. */
  boolean isHandled() {
    return connection.undeliveredBytes() == 0 && !admission.isWaiting();
  }

  /** The number of bytes that are kept. */
  long heldBytes() {
    return commands.heldBytes() + connection.undeliveredBytes();
  }

  /** The number of bytes that are kept for the value of an incomplete write. */
  long heldValueBytes() {
    return commands.heldValueBytes();
  }

  /** Drops the value of an incomplete write, which is rejected once its rest has come. */
  void dropValue() {
    commands.dropValue();
  }

  /**
   * When the client last sent something of an incomplete command that it does not take too long
   * for. Says nothing while the event loop is late, since bytes may then be unread.
   */
  Duration lastProgressAt() {
    if (!timers.hasCaughtUp()) {
      return timers.now();
    }
    return Durations.earlier(lastReceivedAt, partialCommandSince.plus(MAX_COMMAND_DURATION));
  }

  /** When bytes were last received; before that, when the connection was accepted. */
  Duration lastReceivedAt() {
    return lastReceivedAt;
  }

  /** How often bytes have been received. */
  long receiveCount() {
    return receiveCount;
  }

  /**
   * When all that the client has written so far can be taken for received, if nothing is received
   * until then.
   */
  Duration settledAt() {
    if (hasPartialCommand()) {
      return quietSince().plus(MAX_PAUSE_WITHIN_COMMAND);
    }
    return backlogged ? quietSince().plus(SETTLE_TIME) : Duration.ZERO;
  }

  /** Whether a command has been incomplete for so long that its rest is not waited for. */
  boolean isStuckInCommand() {
    return hasPartialCommand()
        && partialCommandSince.plus(MAX_COMMAND_DURATION).compareTo(timers.now()) <= 0;
  }

  private Duration quietSince() {
    return Durations.later(lastReceivedAt, resumedAt);
  }

  // Reading.

  /** Whether no command is handled until responses have been sent, or memory is free. */
  boolean isPaused() {
    return paused || admission.isWaiting();
  }

  /** Whether no further command is read. */
  boolean isEnded() {
    return commands.isEnded();
  }

  /** Whether commands are being read. */
  boolean isReading() {
    return reading;
  }

  /** For how long reading was paused before the command that is being handled. */
  Duration pausedFor() {
    return pausedFor;
  }

  /** Handles received bytes. */
  void receive(Buffer bytes) {
    Duration now = timers.now();
    if (quietSince().plus(SETTLE_TIME).compareTo(now) <= 0) {
      backlogged = false;
    }
    lastReceivedAt = now;
    receiveCount++;
    read(() -> commands.receive(bytes));
    if (isPaused() && !mayReadAhead()) {
      connection.pause();
    }
  }

  /** Handles no further command until {@link #resume}. */
  void pause() {
    paused = true;
    pausedAt = timers.now();
    commands.pause();
    if (!mayReadAhead()) {
      connection.pause();
    }
  }

  private boolean mayReadAhead() {
    return !admission.isWaiting()
        && commands.heldBytes() < MAX_READ_AHEAD_BYTES
        && memory.isHalfFree();
  }

  /**
   * Reads on if reading was paused. At most once in an iteration of the event loop: a client that
   * sends more commands than are answered at once must neither delay other clients nor nest the
   * calls without end.
   */
  void resume() {
    if (!paused) {
      return;
    }
    if (resuming) {
      resumeInNextIteration();
      return;
    }
    resuming = true;
    try {
      paused = false;
      pausedFor = timers.now().minus(pausedAt);
      pauseEnded();
      read(commands::resume);
      pausedFor = Duration.ZERO;
    } finally {
      resuming = false;
    }
    resumeConnection();
  }

  /** Must be called before anything is read: the time of the pause is not the client's. */
  private void pauseEnded() {
    backlogged = true;
    resumedAt = timers.now();
    partialCommandSince = resumedAt;
  }

  private void resumeConnection() {
    if (!isPaused()) {
      connection.resume();
    }
  }

  private void resumeInNextIteration() {
    if (nextTurnTimer == null) {
      nextTurnTimer =
          timers.schedule(
              Duration.ZERO,
              () -> {
                nextTurnTimer = null;
                owner.inputRead();
              });
    }
  }

  /**
   * Reads commands, then writes the responses that are complete. Hundreds of pipelined commands
   * that are answered immediately must not cost one write each.
   */
  private void read(Runnable readCommands) {
    long commandsBefore = commands.count();
    boolean isBetweenCommands = !hasPartialCommand();
    reading = true;
    try {
      readCommands.run();
    } finally {
      reading = false;
    }
    if (isBetweenCommands || commands.count() > commandsBefore) {
      partialCommandSince = timers.now();
    }
    owner.inputRead();
  }

  /** Refuses the write that waits for memory, if any, and reads on. */
  void stopWaitingForMemory() {
    admission.stopWaiting();
  }

  /** Reads no further command, and drops what has not been handled. */
  void end() {
    paused = false;
    commands.end();
    admission.cancel();
  }

  /** Reads the write that had to wait for memory, or drops it. */
  private final class AwaitedWrite implements MemoryAdmission.Listener {
    @Override
    public void admitted(long addedBytes) {
      commands.decide(MemoryAdmission.Decision.ADMITTED);
      owner.takenOver(addedBytes);
      readOn();
    }

    @Override
    public void refused() {
      commands.decide(MemoryAdmission.Decision.REFUSED);
      readOn();
    }

    private void readOn() {
      pauseEnded();
      read(commands::readOn);
      resumeConnection();
    }
  }
}
