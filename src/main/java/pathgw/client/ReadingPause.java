package pathgw.client;

import java.time.Duration;
import pathgw.transport.Connection;
import pathgw.transport.EventLoopTimers;

/**
 * Pauses the reading of commands from one client while too many responses are pending. It resumes
 * at most once in an iteration of the event loop: a client that sends more commands than are
 * answered at once must neither delay other clients nor nest the calls without end.
 */
final class ReadingPause {
  private final Connection connection;
  private final CommandReader commands;
  private final EventLoopTimers timers;

  /** Calls {@link #resume} if there is room for further responses. */
  private final Runnable nextTurn;

  private boolean paused;
  private Duration pausedAt = Duration.ZERO;

  /** For how long reading was paused before the commands that are being read now. */
  private Duration pausedFor = Duration.ZERO;

  private boolean resuming;
  private EventLoopTimers.Timer nextTurnTimer;

  ReadingPause(
      Connection connection, CommandReader commands, EventLoopTimers timers, Runnable nextTurn) {
    this.connection = connection;
    this.commands = commands;
    this.timers = timers;
    this.nextTurn = nextTurn;
  }

  boolean isPaused() {
    return paused;
  }

  /** For how long reading was paused before the command that is being handled. */
  Duration pausedFor() {
    return pausedFor;
  }

  void pause() {
    paused = true;
    pausedAt = timers.now();
    commands.pause();
    connection.pause();
  }

  /** Forgets the pause, since no further command will be read. */
  void cancel() {
    paused = false;
  }

  /**
   * Reads on after a pause, now or in the next iteration.
   *
   * @param readCommands passes the given action, which reads commands, to what handles them
   */
  void resume(Runnable readCommands) {
    if (resuming) {
      resumeInNextIteration();
      return;
    }
    resuming = true;
    try {
      paused = false;
      pausedFor = timers.now().minus(pausedAt);
      readCommands.run();
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
                nextTurn.run();
              });
    }
  }
}
