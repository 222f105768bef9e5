package pathgw.simulation.invariant;

import java.util.Locale;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The record of one run: a digest of every event, and its text if somebody reads it.
 *
 * <p>Two runs with the same digest had the same events in the same order.
 */
public final class Trace {
  private static final long INITIAL_DIGEST = 0x243F6A8885A308D3L;
  private static final long DIGEST_MULTIPLIER = 0x9E3779B97F4A7C15L;
  private static final int DIGEST_ROTATION = 29;
  private static final double NANOS_PER_MILLI = 1e6;

  private final Consumer<String> lineConsumer;
  private long digest = INITIAL_DIGEST;

  /**
   * Creates an empty trace.
   *
   * @param lineConsumer receives each line; null if only the digest is wanted
   */
  public Trace(Consumer<String> lineConsumer) {
    this.lineConsumer = lineConsumer;
  }

  /** Adds one event to the digest. */
  public void addToDigest(long atNanos, long event) {
    digest = Long.rotateLeft((digest ^ atNanos) * DIGEST_MULTIPLIER, DIGEST_ROTATION) ^ event;
  }

  /** Adds one line of text, which is built only if somebody reads it. */
  public void addLine(long atNanos, Supplier<String> text) {
    if (lineConsumer != null) {
      lineConsumer.accept(
          String.format(Locale.ROOT, "%10.3f ms  %s", atNanos / NANOS_PER_MILLI, text.get()));
    }
  }

  /** The digest of all events so far. */
  public long digest() {
    return digest;
  }
}
