package pathgw.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Tests until when the endpoint list is valid, for each way in which updates may fail to arrive.
 */
class EndpointListLeaseTest {
  private static final Duration POLL_INTERVAL = at(10);

  private final EndpointListLease pollLease = new EndpointListLease(false, POLL_INTERVAL);
  private final EndpointListLease pushLease = new EndpointListLease(true, POLL_INTERVAL);

  private static Duration at(long seconds) {
    return Duration.ofSeconds(seconds);
  }

  @Test
  void silentWatchIsValidForSixSecondsWhateverFailsMeanwhile() {
    pollLease.watchOpened(at(1));
    pollLease.watchEventReceived(at(3));
    pollLease.watchSilent(at(3));
    pollLease.pollAnswered(at(6));
    pollLease.watchClosed(at(7));
    pollLease.watchEventReceived(at(8));
    assertEquals(at(9), pollLease.validUntil());
    pollLease.watchOpened(at(12));
    assertEquals(at(18), pollLease.validUntil());
  }

  @Test
  void withoutWatchListIsValidForSixSecondsAfterLastData() {
    assertEquals(at(6), pollLease.validUntil(), "from the start of the proxy");
    pollLease.watchOpened(at(1));
    pollLease.watchClosed(at(2));
    assertEquals(at(7), pollLease.validUntil(), "the end of a watch does not extend the lease");
    pollLease.pollAnswered(at(5));
    assertEquals(at(11), pollLease.validUntil());
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
    pollLease.pollAnswered(at(1));
    pollLease.watchSilent(at(2));
    assertEquals(at(7), pollLease.validUntil());
    pollLease.watchOpened(at(3));
    pollLease.watchSilent(at(2));
    assertEquals(at(8), pollLease.validUntil());
  }

  @Test
  void pushedListIsValidOnlyWithAWatch() {
    assertEquals(at(0), pushLease.validUntil(), "from the start of the proxy");
    pushLease.pollAnswered(at(1));
    assertEquals(at(0), pushLease.validUntil());
    pushLease.watchOpened(at(2));
    assertEquals(at(8), pushLease.validUntil());
    pushLease.watchClosed(at(3));
    assertEquals(at(3), pushLease.validUntil());
  }

  @Test
  void watchOfFormerServiceDoesNotExtendTheLeaseBeyondTheMove() {
    pushLease.watchOpened(at(1));
    pushLease.serviceSwitched(at(2));
    pushLease.watchEventReceived(at(5));
    assertEquals(at(6), pushLease.validUntil());
    pushLease.watchOpened(at(6));
    assertEquals(at(12), pushLease.validUntil());
    pollLease.watchOpened(at(1));
    pollLease.serviceSwitched(at(2));
    pollLease.watchEventReceived(at(7));
    assertEquals(at(8), pollLease.validUntil());
  }

  @Test
  void secondMoveDoesNotExtendTheLeaseOfTheFirst() {
    pollLease.watchOpened(at(1));
    pollLease.serviceSwitched(at(2));
    pollLease.serviceSwitched(at(4));
    pollLease.watchEventReceived(at(7));
    assertEquals(at(8), pollLease.validUntil());
  }
}
