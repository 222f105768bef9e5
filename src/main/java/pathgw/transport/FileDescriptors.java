package pathgw.transport;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.OptionalInt;

/** The file descriptors of this process, as the kernel reports them under {@code /proc}. */
public final class FileDescriptors {
  private static final Path OPEN_DESCRIPTORS = Path.of("/proc/self/fd");
  private static final Path PROCESS_LIMITS = Path.of("/proc/self/limits");
  private static final String LIMIT_NAME = "Max open files";

  private FileDescriptors() {}

  /**
   * Counts the open descriptors, including the one that the count itself uses. Empty if they cannot
   * be listed, as when none is left.
   */
  public static OptionalInt open() {
    String[] names = OPEN_DESCRIPTORS.toFile().list();
    return names == null ? OptionalInt.empty() : OptionalInt.of(names.length);
  }

  /** How many descriptors this process may have open; empty if unknown or unlimited. */
  public static OptionalInt limit() {
    try {
      return parseLimit(Files.readAllLines(PROCESS_LIMITS));
    } catch (IOException e) {
      return OptionalInt.empty();
    }
  }

  /** Reads the soft limit from the lines of {@code /proc/self/limits}. */
  static OptionalInt parseLimit(List<String> lines) {
    for (String line : lines) {
      if (line.startsWith(LIMIT_NAME)) {
        String softLimit = line.substring(LIMIT_NAME.length()).trim().split("\\s+")[0];
        return softLimit.matches("\\d{1,9}")
            ? OptionalInt.of(Integer.parseInt(softLimit))
            : OptionalInt.empty();
      }
    }
    return OptionalInt.empty();
  }
}
