package pathgw.fake;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Random;
import java.util.function.DoubleSupplier;

/** What works at a place: so many at a time, and a bounded queue before them. */
final class WorkerQueue {
  private final Clock clock;
  private final Random chance;
  private final int slots;
  private final Duration service;
  private final int longestQueue;
  private final DoubleSupplier slower;
  private final ArrayDeque<Runnable> queue = new ArrayDeque<>();
  private int busy;

  /**
   * @param slower how many times longer work takes just now
   */
  WorkerQueue(
      Clock clock,
      Random chance,
      int slots,
      Duration service,
      int longestQueue,
      DoubleSupplier slower) {
    this.clock = clock;
    this.chance = chance;
    this.slots = slots;
    this.service = service;
    this.longestQueue = longestQueue;
    this.slower = slower;
  }

  boolean full() {
    return busy >= slots && queue.size() >= longestQueue;
  }

  void work(Runnable done) {
    Runnable job =
        () -> {
          busy++;
          // Most work takes about the usual time, some of it several times as long.
          double times = 0.5 - Math.log(1 - chance.nextDouble()) / 2;
          clock.in(
              Duration.ofNanos((long) (service.toNanos() * times * slower.getAsDouble())),
              () -> {
                busy--;
                done.run();
                if (!queue.isEmpty() && busy < slots) {
                  queue.poll().run();
                }
              });
        };
    if (busy < slots) {
      job.run();
    } else {
      queue.add(job);
    }
  }
}
