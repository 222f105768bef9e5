package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of one run: one line an event, with the time since the start of the run. */
final class Record implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  synchronized void line(String text) {
    out.printf(Locale.ROOT, "%8.3f %s%n", seconds(), text);
  }

  /** A line that also goes to standard output. */
  synchronized void tell(String text) {
    line(text);
    System.out.printf(Locale.ROOT, "%8.3f %s%n", seconds(), text);
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
