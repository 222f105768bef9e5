package pathgw.observability;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

/** Tests the format of log lines. */
class LogLineFormatterTest {
  @Test
  void lineHasTimeLevelLoggerAndMessageThenStackTraceOfException() {
    LogRecord logRecord = new LogRecord(Level.WARNING, "event loop blocked for 52 ms");
    logRecord.setLoggerName("a.Logger");
    logRecord.setInstant(Instant.parse("2026-02-03T04:05:06.007Z"));
    assertEquals(
        "2026-02-03T04:05:06.007Z WARNING a.Logger event loop blocked for 52 ms\n",
        new LogLineFormatter().format(logRecord));
    logRecord.setThrown(new IllegalStateException("why"));
    assertTrue(
        new LogLineFormatter()
            .format(logRecord)
            .contains("\njava.lang.IllegalStateException: why\n\tat "));
  }
}
