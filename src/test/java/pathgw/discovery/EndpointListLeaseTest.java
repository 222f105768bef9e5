package pathgw.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Until when the endpoint list holds, for each way in which it may cease to be heard. */
class EndpointListLeaseTest {
  private static final Duration ASK = at(10);

  private final EndpointListLease asked = new EndpointListLease(false, ASK);
  private final EndpointListLease pushed = new EndpointListLease(true, ASK);

  private static Duration at(long seconds) {
    return Duration.ofSeconds(seconds);
  }

  @Test
  void aSilentWatchHoldsForSixSecondsWhateverFailsMeanwhile() {
    asked.spoke(at(1));
    asked.lives(at(3));
    asked.fellSilent(at(3));
    asked.answered(at(6));
    asked.ended(at(7));
    asked.lives(at(8));
    assertEquals(at(9), asked.until());
    asked.spoke(at(12));
    assertEquals(at(18), asked.until());
  }

  @Test
  void withNoWatchTheListHoldsForSixSecondsFromWhatWasHeardLast() {
    assertEquals(at(6), asked.until(), "from its start on");
    asked.spoke(at(1));
    asked.ended(at(2));
    assertEquals(at(7), asked.until(), "its end tells of nothing since its last line");
    asked.answered(at(5));
    assertEquals(at(11), asked.until());
  }

  @Test
  void aShorterTimeForAskingCountsFromTheEndOfTheWatch() {
    EndpointListLease shorter = new EndpointListLease(false, at(2));
    shorter.spoke(at(1));
    shorter.ended(at(3));
    assertEquals(at(5), shorter.until());
  }

  @Test
  void aCallThatFellSilentWhileItWaitedHidesWhatCameAfterItWasMade() {
    asked.answered(at(1));
    asked.fellSilent(at(2));
    assertEquals(at(7), asked.until());
    asked.spoke(at(3));
    asked.fellSilent(at(2));
    assertEquals(at(8), asked.until());
  }

  @Test
  void wherePushedAllThatIsThereCountsWithNoWatch() {
    assertEquals(at(0), pushed.until(), "from its start on");
    pushed.answered(at(1));
    assertEquals(at(0), pushed.until());
    pushed.spoke(at(2));
    assertEquals(at(8), pushed.until());
    pushed.ended(at(3));
    assertEquals(at(3), pushed.until());
  }

  @Test
  void theServiceThatWasLeftProvesNothingBeyondTheTimeForTheNewOne() {
    pushed.spoke(at(1));
    pushed.moved(at(2));
    pushed.lives(at(5));
    assertEquals(at(6), pushed.until());
    pushed.spoke(at(6));
    assertEquals(at(12), pushed.until());
    asked.spoke(at(1));
    asked.moved(at(2));
    asked.lives(at(7));
    assertEquals(at(8), asked.until());
  }

  @Test
  void movedTwiceWhatTheOneInBetweenHadToTellCountsFromTheFirstTime() {
    asked.spoke(at(1));
    asked.moved(at(2));
    asked.moved(at(4));
    asked.lives(at(7));
    assertEquals(at(8), asked.until());
  }
}
