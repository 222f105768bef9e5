package pathgw.server;

import java.time.Duration;
import pathgw.client.ClientConnection;
import pathgw.transport.EventLoopTimers;

/**
 * Closes clients that send no commands or read no responses, at regular intervals, so that they do
 * not hold descriptors and memory that others need.
 */
final class IdleClientSweeper {
  private static final Duration INTERVAL = Duration.ofMillis(100);
  private static final Duration MAX_IDLE = Duration.ofSeconds(2);
  private static final Duration MAX_WRITE_STALL = Duration.ofSeconds(3);

  private final ClientRegistry clients;
  private final EventLoopTimers timers;

  IdleClientSweeper(ClientRegistry clients, EventLoopTimers timers) {
    this.clients = clients;
    this.timers = timers;
  }

  /** Sweeps now and after each interval, for as long as the proxy runs. */
  void sweep() {
    clients.closeSurplus();
    clients.forEach(IdleClientSweeper::closeIfIdle);
    timers.schedule(INTERVAL, this::sweep);
  }

  private static void closeIfIdle(ClientConnection client) {
    client.cutOffIfStuck(MAX_WRITE_STALL);
    if (client.idleFor(MAX_IDLE)) {
      client.endBetweenCommands();
    }
  }
}
