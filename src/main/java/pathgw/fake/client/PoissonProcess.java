package pathgw.fake.client;

import java.time.Duration;
import java.util.Random;
import java.util.function.DoubleSupplier;
import pathgw.fake.Clock;

/** Runs a task at the random times of a Poisson process, whose rate may change. */
final class PoissonProcess {
  private static final double NANOS_PER_SECOND = 1e9;

  private final Clock clock;
  private final Random random;
  private final DoubleSupplier eventsPerSecond;
  private final Runnable onEvent;
  private boolean stopped;

  /**
   * Creates a process that has not started.
   *
   * @param eventsPerSecond supplies the rate, which must be above zero; read once for each pause
   * @param onEvent the task to run
   */
  PoissonProcess(Clock clock, Random random, DoubleSupplier eventsPerSecond, Runnable onEvent) {
    this.clock = clock;
    this.random = random;
    this.eventsPerSecond = eventsPerSecond;
    this.onEvent = onEvent;
  }

  void start() {
    scheduleNext();
  }

  void stop() {
    stopped = true;
  }

  private void scheduleNext() {
    clock.schedule(
        drawPause(),
        () -> {
          if (!stopped) {
            onEvent.run();
            scheduleNext();
          }
        });
  }

  private Duration drawPause() {
    double relativePause = -Math.log(1 - random.nextDouble());
    return Duration.ofNanos(
        (long) (relativePause / eventsPerSecond.getAsDouble() * NANOS_PER_SECOND));
  }
}
