package pathgw.simulation;

import java.util.Locale;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** What happened in one run: a digest of all of it, and its text for who asked for that. */
final class Trace {
  private final Consumer<String> out;
  private long digest = 0x243F6A8885A308D3L;

  /**
   * @param out hears each line; null for the digest alone
   */
  Trace(Consumer<String> out) {
    this.out = out;
  }

  void mix(long at, long what) {
    digest = Long.rotateLeft((digest ^ at) * 0x9E3779B97F4A7C15L, 29) ^ what;
  }

  void say(long at, Supplier<String> what) {
    if (out != null) {
      out.accept(String.format(Locale.ROOT, "%10.3f ms  %s", at / 1e6, what.get()));
    }
  }

  long digest() {
    return digest;
  }
}
