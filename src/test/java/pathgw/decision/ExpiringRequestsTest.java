package pathgw.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests how the requests are found whose time is up. */
class ExpiringRequestsTest {
  private static final int MANY = 10_000;

  private final ExpiringRequests requests = new ExpiringRequests();
  private Duration pause = Duration.ZERO;
  private int looks;

  private static Duration ms(long millis) {
    return Duration.ofMillis(millis);
  }

  private RequestState add(long id, long earliestEndMs) {
    RequestState request =
        new RequestState(id, id, null, null, 0, 0, ms(earliestEndMs + 100), false, false);
    request.earliestEndAt = ms(earliestEndMs);
    requests.add(request);
    return request;
  }

  /** A request ends before its deadline by the pause that is expected, by 100 ms at most. */
  private RequestState firstExpired(long nowMs) {
    return requests.firstExpired(
        ms(nowMs),
        pause,
        request -> {
          looks++;
          return request.deadline.minus(pause);
        });
  }

  @Test
  void requestsAreFoundWhenTheirTimeIsUp() {
    RequestState later = add(1, 300);
    RequestState first = add(2, 200);
    assertNull(firstExpired(299));
    assertSame(first, firstExpired(300));
    requests.remove(first);
    assertNull(firstExpired(300));
    assertSame(later, firstExpired(400));
  }

  @Test
  void requestThatWasAddedLaterOrALongerPauseIsTakenIntoAccount() {
    add(1, 300);
    assertNull(firstExpired(250));
    RequestState urgent = add(2, 100);
    assertSame(urgent, firstExpired(250));
    requests.remove(urgent);
    assertNull(firstExpired(310));
    pause = ms(95);
    assertEquals(1, firstExpired(310).id);
  }

  /** Guards against a look at each open request for each input while the event loop is late. */
  @Test
  void openRequestsAreNotLookedAtAgainBeforeOneOfThemCanEnd() {
    for (int i = 0; i < MANY; i++) {
      add(i, 200 + i / 100);
    }
    for (int input = 0; input < MANY; input++) {
      assertNull(firstExpired(250));
    }
    assertTrue(looks <= MANY, looks + " looks");
  }
}
