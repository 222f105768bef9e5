package pathgw.observability;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.ResourceBundle;
import org.junit.jupiter.api.Test;
import pathgw.fixture.NetworkFixture;
import pathgw.request.RequestHandler;
import pathgw.upstream.UpstreamPools;

/** The summary line that is logged every ten seconds. */
class CountersTest extends NetworkFixture {
  private record RecordingLogger(List<String> lines) implements System.Logger {
    @Override
    public String getName() {
      return "test";
    }

    @Override
    public boolean isLoggable(Level level) {
      return true;
    }

    @Override
    public void log(Level level, ResourceBundle bundle, String text, Throwable thrown) {
      lines.add(text);
    }

    @Override
    public void log(Level level, ResourceBundle bundle, String format, Object... params) {
      lines.add(format);
    }
  }

  @Test
  void eventsOfOnePeriodAreLoggedInOneLineAndIdlePeriodsNotAtAll() {
    List<String> lines = new ArrayList<>();
    Counters counters = new Counters(new RecordingLogger(lines), timers, RequestObserver.NONE);
    requestHandler = new RequestHandler(timers, driver, pools, CONFIG.answerSlack(), counters);
    pools =
        new UpstreamPools(
            counters.countingConnector("node-connections", this::dial),
            this::dial,
            timers,
            CONFIG,
            8);
    client().gives(READ);
    nodes("n1");
    requestHandler = new RequestHandler(timers, driver, pools, CONFIG.answerSlack(), counters);
    client().gives("mg k1 v Oa2 Pc=read,t=one,d=480\r\n");
    dialled.get(0).gives("VA 2 Oa2\r\nhi\r\n");
    pass(20_100);
    assertEquals(
        List.of(
            "in 10 s; attempts ANSWERED 1, first 1; node-connections opened 1; "
                + "requests rejected unsent 1, served 1"),
        lines,
        "a period without events is not logged");
  }
}
