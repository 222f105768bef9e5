package pathgw.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import pathgw.config.Json;
import pathgw.fixture.NetworkFixture;
import pathgw.transport.FakeConnection;

/** Tests which lists a call accepts when the lengths in its response are wrong. */
class DiscoveryCallTest extends NetworkFixture implements DiscoveryCall.Listener {
  private static final String LIST =
      "{\"seq\":7,\"whole\":true,\r\n\"hosts\":[\r\n{\"host\":\"n1\"},\r\n{\"host\":\"n2\"}]}";

  private final List<Json> lists = new ArrayList<>();

  @Override
  public void listReceived(DiscoveryCall call, Json list) {
    lists.add(list);
  }

  @Override
  public void lineReceived(DiscoveryCall call) {}

  @Override
  public void silenceDetected(DiscoveryCall call, Duration silence) {}

  @Override
  public void ended(DiscoveryCall call, CallEnd end) {}

  private int listsReceivedFrom(DiscoveryCall.Kind kind, String response) {
    lists.clear();
    DiscoveryCall call = new DiscoveryCall(kind, "/x", TEST_ADDRESS, timers, this);
    call.start(this::dial, Duration.ofSeconds(1));
    FakeConnection connection = dialled.get(dialled.size() - 1);
    connection.deliver(response);
    connection.ends();
    return lists.size();
  }

  /** Guards against a list that is applied cut off, which would remove the nodes at its end. */
  @ParameterizedTest
  @EnumSource(DiscoveryCall.Kind.class)
  void listCutOffByAWrongLengthIsNotAccepted(DiscoveryCall.Kind kind) {
    String head = "HTTP/1.1 200 OK\r\n";
    String chunkedHead = head + "Transfer-Encoding: chunked\r\n\r\n";
    for (int length = 0; length <= LIST.length(); length++) {
      int expected = length == LIST.length() ? 1 : 0;
      String withLength = head + "Content-Length: " + length + "\r\n\r\n" + LIST;
      assertEquals(expected, listsReceivedFrom(kind, withLength), "length " + length);
      String untilEnd = head + "\r\n" + LIST.substring(0, length);
      assertEquals(expected, listsReceivedFrom(kind, untilEnd), "ended after " + length);
      String chunk = Integer.toHexString(length) + "\r\n" + LIST + "\r\n0\r\n\r\n";
      assertEquals(expected, listsReceivedFrom(kind, chunkedHead + chunk), "chunk of " + length);
    }
  }
}
