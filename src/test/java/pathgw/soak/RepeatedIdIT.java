package pathgw.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Clients leave before they have a response and send the same request once more. */
@Timeout(60)
class RepeatedIdIT extends SoakFixture {
  private static final int REQUESTS = 350;
  private static final long INTERVAL_MS = 12;
  private static final int ORIGIN_DELAY_MS = 200;
  private static final long LONGEST_WAIT_MS = 2000;

  /** Guards against an effect that takes place twice since its client has not waited. */
  @ParameterizedTest
  @CsvSource({"96, 30, 0", "96, 30, 300", "128, 120, 50", "192, 30, 1000"})
  void requestOfAClientThatLeftAndComesAgainDoesNotRunTwice(
      int memoryMb, long leaveAfterMs, long pauseMs) throws Exception {
    startProxy(memoryMb);
    Thread.sleep(500);
    cluster.onLoop(() -> cluster.setOriginDelay(ORIGIN_DELAY_MS));
    for (int i = 0; i < REQUESTS; i++) {
      cluster.onLoop(() -> clients.leaveAndComeAgain(RequestClass.BOOKING, leaveAfterMs, pauseMs));
      Thread.sleep(INTERVAL_MS);
    }
    Thread.sleep(LONGEST_WAIT_MS);
    assertEquals(List.of(), cluster.violations, proxy.log());
    long unanswered = cluster.requests.values().stream().filter(ClientRequest::isLost).count();
    assertEquals(0, unanswered, proxy.log());
    boolean anyRan = cluster.requests.values().stream().anyMatch(r -> r.attempts == 1);
    assertTrue(anyRan, "the origin had none of them");
  }
}
