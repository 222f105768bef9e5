package pathgw.fake.server;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Random;
import java.util.function.DoubleSupplier;
import pathgw.fake.Clock;

/** The workers of a fake server and the bounded queue before them. */
final class WorkerQueue {
  private final Clock clock;
  private final Random random;
  private final ServerLimits limits;
  private final DoubleSupplier serviceTimeFactor;
  private final ArrayDeque<Runnable> queue = new ArrayDeque<>();
  private int busyWorkers;

  /**
   * Creates idle workers.
   *
   * @param serviceTimeFactor how many times its usual time work takes at present
   */
  WorkerQueue(Clock clock, Random random, ServerLimits limits, DoubleSupplier serviceTimeFactor) {
    this.clock = clock;
    this.random = random;
    this.limits = limits;
    this.serviceTimeFactor = serviceTimeFactor;
  }

  /** Whether all workers are busy and the queue is full. */
  boolean full() {
    return busyWorkers >= limits.slots() && queue.size() >= limits.queueLength();
  }

  /**
   * Works on a request as soon as a worker is free. Callers check {@link #full()} first.
   *
   * @param onDone called at the end of the work, when its worker is free again
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

  /** Half the mean and an exponential rest: most work takes about the mean, some several times. */
  private Duration drawServiceTime() {
    double factor = 0.5 - Math.log(1 - random.nextDouble()) / 2;
    long nanos = (long) (limits.serviceTime().toNanos() * factor * serviceTimeFactor.getAsDouble());
    return Duration.ofNanos(nanos);
  }
}
