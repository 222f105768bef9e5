package pathgw.observability;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

class LogLineFormatterTest {
  @Test
  void aLineHasTimeLevelLoggerAndMessageAndAFaultItsTrace() {
    LogRecord told = new LogRecord(Level.WARNING, "stood still for 52 ms");
    told.setLoggerName("a.Logger");
    told.setInstant(Instant.parse("2026-02-03T04:05:06.007Z"));
    assertEquals(
        "2026-02-03T04:05:06.007Z WARNING a.Logger stood still for 52 ms\n",
        new LogLineFormatter().format(told));
    told.setThrown(new IllegalStateException("why"));
    assertTrue(
        new LogLineFormatter()
            .format(told)
            .contains("\njava.lang.IllegalStateException: why\n\tat "));
  }
}
