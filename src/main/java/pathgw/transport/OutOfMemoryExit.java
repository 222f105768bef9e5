package pathgw.transport;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/**
 * Ends the process after an {@link OutOfMemoryError}. Such an error may come up wherever the event
 * loop allocates, so that afterwards a timer, a response or a connection may be lost without a
 * trace. The JVM itself ends the process if the heap is used up ({@code ExitOnOutOfMemoryError} in
 * {@code deploy/run.sh}), but not if memory outside the heap is.
 */
public final class OutOfMemoryExit {
  /** The exit status, which is that of the JVM's own option. */
  public static final int STATUS = 3;

  private static final Logger LOG = System.getLogger(OutOfMemoryExit.class.getName());

  private OutOfMemoryExit() {}

  /**
   * Ends the process if an error says that memory is used up, or was caused by one that does.
   *
   * @param error the error that was caught
   */
  public static void check(Throwable error) {
    for (Throwable cause = error; cause != null; cause = cause.getCause()) {
      if (cause instanceof OutOfMemoryError) {
        LOG.log(Level.ERROR, "out of memory, the process ends with status " + STATUS, error);
        Runtime.getRuntime().halt(STATUS);
      }
    }
  }
}
