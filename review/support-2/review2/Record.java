package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes record.txt: what was sent, answered and run, with the time since the start of the case. */
final class Record {
  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path folder) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Milliseconds since the start of the case. */
  double now() {
    return millis(System.nanoTime());
  }

  /** Converts a time of {@link System#nanoTime} to milliseconds since the start of the case. */
  double millis(long nanos) {
    return (nanos - startNanos) / 1e6;
  }

  synchronized void line(String format, Object... arguments) {
    String text = arguments.length == 0 ? format : String.format(format, arguments);
    out.printf("%10.1f %s%n", now(), text);
    out.flush();
  }

  /** Writes a line to the record and to standard output. */
  void say(String format, Object... arguments) {
    String text = arguments.length == 0 ? format : String.format(format, arguments);
    line("%s", text);
    System.out.println(text);
  }
}
