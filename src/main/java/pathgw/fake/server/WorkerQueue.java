package pathgw.fake.server;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Random;
import java.util.function.DoubleSupplier;
import pathgw.fake.Clock;

/**
 * The workers of a fake server, one for each of its {@link ServerLimits#slots()}, and the bounded
 * queue of requests that wait for a worker.
 */
final class WorkerQueue {
  private final Clock clock;
  private final Random random;
  private final ServerLimits limits;
  private final DoubleSupplier serviceTimeFactor;
  private final ArrayDeque<Runnable> queue = new ArrayDeque<>();
  private int busyWorkers;

  /**
   * Creates idle workers and an empty queue.
   *
   * @param serviceTimeFactor supplies the factor by which requests take longer than usual; read
   *     once for each request
   */
  WorkerQueue(Clock clock, Random random, ServerLimits limits, DoubleSupplier serviceTimeFactor) {
    this.clock = clock;
    this.random = random;
    this.limits = limits;
    this.serviceTimeFactor = serviceTimeFactor;
  }

  /** Returns whether all workers are busy and the queue is full. */
  boolean full() {
    return busyWorkers >= limits.slots() && queue.size() >= limits.queueLength();
  }

  /**
   * Processes a request as soon as a worker is free. Callers check {@link #full()} first; this
   * method doesn't enforce the queue's bound.
   *
   * @param onDone called at the end of the service time, when the worker is free again
   */
  void submit(Runnable onDone) {
    if (busyWorkers < limits.slots()) {
      begin(onDone);
    } else {
      queue.add(onDone);
    }
  }

  private void begin(Runnable onDone) {
    busyWorkers++;
    clock.schedule(drawServiceTime(), () -> end(onDone));
  }

  private void end(Runnable onDone) {
    busyWorkers--;
    onDone.run();
    if (!queue.isEmpty() && busyWorkers < limits.slots()) {
      begin(queue.poll());
    }
  }

  /**
   * Draws half the mean plus an exponentially distributed part with the other half as its mean:
   * most requests take about the mean, a few take several times as long.
   */
  private Duration drawServiceTime() {
    double factor = 0.5 - Math.log(1 - random.nextDouble()) / 2;
    long nanos = (long) (limits.serviceTime().toNanos() * factor * serviceTimeFactor.getAsDouble());
    return Duration.ofNanos(nanos);
  }
}
