package pathgw.simulation.invariant;

import java.util.Locale;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The record of one run: a digest of all events, and optionally their text.
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
   * @param lineConsumer receives each line; null if only the digest is needed
   */
  public Trace(Consumer<String> lineConsumer) {
    this.lineConsumer = lineConsumer;
  }

  /**
   * Adds one event to the digest.
   *
   * @param atNanos virtual time of the event
   * @param event a value that identifies the event
   */
  public void addToDigest(long atNanos, long event) {
    digest = Long.rotateLeft((digest ^ atNanos) * DIGEST_MULTIPLIER, DIGEST_ROTATION) ^ event;
  }

  /** Adds one line of text; the text is only built if there is a consumer. */
  public void addLine(long atNanos, Supplier<String> text) {
    if (lineConsumer != null) {
      lineConsumer.accept(
          String.format(Locale.ROOT, "%10.3f ms  %s", atNanos / NANOS_PER_MILLI, text.get()));
    }
  }

  /** Returns the digest of all events so far. */
  public long digest() {
    return digest;
  }
}
