package pathgw.fake;

import java.time.Duration;
import java.util.Random;

/** Random values that several of the fake clients draw. */
final class RandomValues {
  private static final double NANOS_PER_SECOND = 1e9;

  private RandomValues() {}

  /** The time to the next event of a Poisson process. */
  static Duration exponentialPause(Random random, double perSecond) {
    return Duration.ofNanos(
        (long) (-Math.log(1 - random.nextDouble()) / perSecond * NANOS_PER_SECOND));
  }

  /** An id of 16 hexadecimal digits. */
  static String hexId(Random random) {
    return String.format("%016x", random.nextLong());
  }
}
