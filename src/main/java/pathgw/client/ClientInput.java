package pathgw.client;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import pathgw.transport.Connection;
import pathgw.transport.EventLoopTimers;

/**
 * What one client has sent and what has not been handled of it. Decides when more is read from the
 * client: not while too many responses are pending.
 */
final class ClientInput {
  /** The connection that the input belongs to. */
  interface Owner {
    /** Commands have been read; writes the responses that are complete. */
    void inputRead();
  }

  private final Connection connection;
  private final EventLoopTimers timers;
  private final Owner owner;
  private final CommandReader commands;
  private Duration lastReceivedAt;

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
   * @param handler receives the commands
   */
  ClientInput(
      Connection connection, EventLoopTimers timers, Owner owner, CommandReader.Handler handler) {
    this.connection = connection;
    this.timers = timers;
    this.owner = owner;
    commands = new CommandReader(handler);
    lastReceivedAt = timers.now();
  }

  // What has not been handled.

  /** Whether an incomplete command has been received. */
  boolean hasPartialCommand() {
    return commands.hasPartialCommand();
  }

  /** Whether no bytes have been read that wait to be handled. */
  boolean isHandled() {
    return connection.undeliveredBytes() == 0;
  }

  /** The number of bytes that are kept. */
  long heldBytes() {
    return commands.heldBytes() + connection.undeliveredBytes();
  }

  /** The number of bytes that are kept for the value of an incomplete write. */
  long heldValueBytes() {
    return commands.heldValueBytes();
  }

  /** When bytes were last received; before that, when the connection was accepted. */
  Duration lastReceivedAt() {
    return lastReceivedAt;
  }

  // Reading.

  /** Whether nothing is read until responses have been sent. */
  boolean isPaused() {
    return paused;
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
    lastReceivedAt = timers.now();
    read(() -> commands.receive(bytes));
  }

  /** Reads no further command until {@link #resume}. */
  void pause() {
    paused = true;
    pausedAt = timers.now();
    commands.pause();
    connection.pause();
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
      read(commands::resume);
      pausedFor = Duration.ZERO;
    } finally {
      resuming = false;
    }
    if (!paused) {
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
    reading = true;
    try {
      readCommands.run();
    } finally {
      reading = false;
    }
    owner.inputRead();
  }

  /** Reads no further command, and drops what has not been handled. */
  void end() {
    paused = false;
    commands.end();
  }
}
