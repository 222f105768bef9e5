package pathgw.fake.client;

import java.util.Random;

/** Generates request ids and idempotency keys. */
final class RandomIds {
  private RandomIds() {}

  /** Draws an id of 16 hexadecimal digits. */
  static String next(Random random) {
    return String.format("%016x", random.nextLong());
  }
}
