package pathgw.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Until when the endpoint list is valid, for each way in which updates may fail to arrive. */
class EndpointListLeaseTest {
  private static final Duration POLL_INTERVAL = at(10);

  private final EndpointListLease polled = new EndpointListLease(false, POLL_INTERVAL);
  private final EndpointListLease pushed = new EndpointListLease(true, POLL_INTERVAL);

  private static Duration at(long seconds) {
    return Duration.ofSeconds(seconds);
  }

  @Test
  void silentWatchIsValidForSixSecondsWhateverFailsMeanwhile() {
    polled.watchOpened(at(1));
    polled.watchEventReceived(at(3));
    polled.watchSilent(at(3));
    polled.pollAnswered(at(6));
    polled.watchClosed(at(7));
    polled.watchEventReceived(at(8));
    assertEquals(at(9), polled.validUntil());
    polled.watchOpened(at(12));
    assertEquals(at(18), polled.validUntil());
  }

  @Test
  void withoutWatchListIsValidForSixSecondsAfterLastData() {
    assertEquals(at(6), polled.validUntil(), "from the start of the proxy");
    polled.watchOpened(at(1));
    polled.watchClosed(at(2));
    assertEquals(at(7), polled.validUntil(), "the end of a watch does not extend the lease");
    polled.pollAnswered(at(5));
    assertEquals(at(11), polled.validUntil());
  }

  @Test
  void shorterPollIntervalCountsFromEndOfWatch() {
    EndpointListLease shorter = new EndpointListLease(false, at(2));
    shorter.watchOpened(at(1));
    shorter.watchClosed(at(3));
    assertEquals(at(5), shorter.validUntil());
  }

  @Test
  void callThatWasSilentFromItsStartMayHaveMissedAllLaterUpdates() {
    polled.pollAnswered(at(1));
    polled.watchSilent(at(2));
    assertEquals(at(7), polled.validUntil());
    polled.watchOpened(at(3));
    polled.watchSilent(at(2));
    assertEquals(at(8), polled.validUntil());
  }

  @Test
  void pushedListIsValidOnlyWithAWatch() {
    assertEquals(at(0), pushed.validUntil(), "from the start of the proxy");
    pushed.pollAnswered(at(1));
    assertEquals(at(0), pushed.validUntil());
    pushed.watchOpened(at(2));
    assertEquals(at(8), pushed.validUntil());
    pushed.watchClosed(at(3));
    assertEquals(at(3), pushed.validUntil());
  }

  @Test
  void watchOfFormerServiceDoesNotExtendTheLeaseBeyondTheMove() {
    pushed.watchOpened(at(1));
    pushed.discoveryMoved(at(2));
    pushed.watchEventReceived(at(5));
    assertEquals(at(6), pushed.validUntil());
    pushed.watchOpened(at(6));
    assertEquals(at(12), pushed.validUntil());
    polled.watchOpened(at(1));
    polled.discoveryMoved(at(2));
    polled.watchEventReceived(at(7));
    assertEquals(at(8), polled.validUntil());
  }

  @Test
  void secondMoveDoesNotExtendTheLeaseOfTheFirst() {
    polled.watchOpened(at(1));
    polled.discoveryMoved(at(2));
    polled.discoveryMoved(at(4));
    polled.watchEventReceived(at(7));
    assertEquals(at(8), polled.validUntil());
  }
}
