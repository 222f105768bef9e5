package pathgw.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * One client sends commands at full speed on one connection for some seconds, also under ever new
 * names. Other clients must get their answers in time, and memory must not grow.
 */
@Timeout(60)
class FloodIT extends SoakFixture {
  private static final int USUAL_REQUESTS = 500;
  private static final long USUAL_INTERVAL_MS = 10;
  private static final int USUAL_CONNECTIONS = 20;
  private static final long LONGEST_WAIT_MS = 1800;
  private static final int COMMANDS_PER_BUFFER = 500;

  private BadClients floodingClient;
  private int commands;

  /** What the client sends; the number of each command stands in place of %1$d. */
  private enum Flood {
    UNSOUND_LINES("hello\r\n"),
    UNSOUND_LINES_UNDER_NEW_NAMES("hello%1$d\r\n"),
    CLASSES_THAT_DO_NOT_EXIST("mg k%1$d v O%1$d Pc=x%1$d\r\n"),
    READS_OF_ONE_NAME("mg k v O1 Pc=read,t=one,d=400\r\n"),
    READS_UNDER_NEW_NAMES("mg k%1$d v O%1$d Pc=read,t=one,d=400\r\n"),
    WRITES_UNDER_NEW_NAMES("ms k%1$d 1 O%1$d Pc=book,t=t%1$d\r\nx\r\n");

    private final String format;

    Flood(String format) {
      this.format = format;
    }

    String command(int number) {
      return format.replace("%1$d", Integer.toString(number));
    }
  }

  @BeforeEach
  void start() throws Exception {
    cluster.acceptUnknownRequests();
  }

  @Override
  void stopOtherClients() throws Exception {
    floodingClient.stop();
  }

  private Buffer nextCommands(Flood flood) {
    Buffer bytes = Buffer.buffer();
    for (int i = 0; i < COMMANDS_PER_BUFFER; i++) {
      bytes.appendString(flood.command(commands++));
    }
    return bytes;
  }

  private void sendUsualRequests() throws Exception {
    for (int i = 0; i < USUAL_REQUESTS; i++) {
      RequestClass requestClass = i % 2 == 0 ? RequestClass.READ : RequestClass.WRITE;
      cluster.onLoop(() -> clients.sendPatiently(requestClass));
      Thread.sleep(USUAL_INTERVAL_MS);
    }
  }

  private static boolean isLate(ClientRequest request) {
    long latestEndNanos =
        request.deadlineNanos() + SoakClients.RESPONSE_SLACK_MS * SoakCluster.NANOS_PER_MILLI;
    return request.isLost() || request.endedAtNanos > latestEndNanos;
  }

  /** Guards against a client that keeps the event loop for itself, and names that are kept. */
  @ParameterizedTest
  @CsvSource({
    "UNSOUND_LINES, 96",
    "UNSOUND_LINES_UNDER_NEW_NAMES, 192",
    "CLASSES_THAT_DO_NOT_EXIST, 96",
    "READS_OF_ONE_NAME, 96",
    "READS_UNDER_NEW_NAMES, 96",
    "READS_UNDER_NEW_NAMES, 192",
    "WRITES_UNDER_NEW_NAMES, 96"
  })
  void usualRequestsBesideAFloodAreAnsweredInTime(Flood flood, int memoryMb) throws Exception {
    startProxy(memoryMb);
    Thread.sleep(500);
    floodingClient = new BadClients(proxy.port);
    clients.openIdle(USUAL_CONNECTIONS);
    floodingClient.flood(1, () -> nextCommands(flood));
    sendUsualRequests();
    Thread.sleep(LONGEST_WAIT_MS);
    List<String> late =
        cluster.requests.values().stream()
            .filter(FloodIT::isLate)
            .map(ClientRequest::toString)
            .toList();
    assertEquals(List.of(), late, proxy.log());
    assertEquals(List.of(), cluster.violations, proxy.log());
    assertTrue(proxy.peakMemoryMb() <= memoryMb, proxy.peakMemoryMb() + " MB");
  }
}
