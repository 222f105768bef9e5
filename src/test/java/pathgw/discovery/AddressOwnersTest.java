package pathgw.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import pathgw.config.Address;
import pathgw.decision.EndpointState;

/** Tests which endpoint an address belongs to once another process has come up there. */
class AddressOwnersTest {
  private static final Address ADDRESS = new Address("10.0.0.1", 5);
  private static final Address OTHER_ADDRESS = new Address("10.0.0.2", 5);
  private static final Endpoint OLD = endpoint("old", ADDRESS, 1000);
  private static final Endpoint NEW = endpoint("new", ADDRESS, 9000);

  private final AddressOwners owners = new AddressOwners();

  private static Endpoint endpoint(String host, Address address, long startedMillis) {
    return new Endpoint(host, address, EndpointState.READY, startedMillis, 0, 0, 0);
  }

  @Test
  void processThatHasStartedLaterReplacesTheOneAtItsAddress() {
    assertEquals(List.of(OLD), owners.apply(List.of(OLD)));
    assertEquals(List.of(OLD.gone(), NEW), owners.apply(List.of(NEW)));
    assertEquals(List.of(OLD.gone()), owners.apply(List.of(OLD)), "whatever the list says");
    assertEquals(List.of(OLD.gone()), owners.apply(List.of(OLD.gone())));
    assertEquals(List.of(NEW), owners.apply(List.of(NEW)));
  }

  @Test
  void orderInAListDoesNotMatter() {
    assertEquals(List.of(OLD, OLD.gone(), NEW), owners.apply(List.of(OLD, NEW)));
    owners.clear();
    assertEquals(List.of(NEW, OLD.gone()), owners.apply(List.of(NEW, OLD)));
  }

  @Test
  void startThatIsNotKnownCountsAsLongAgo() {
    Endpoint unknown = endpoint("unknown", ADDRESS, 0);
    assertEquals(List.of(unknown), owners.apply(List.of(unknown)));
    assertEquals(List.of(unknown.gone(), OLD), owners.apply(List.of(OLD)));
    owners.clear();
    Endpoint alsoUnknown = endpoint("also-unknown", ADDRESS, 0);
    assertEquals(List.of(unknown, alsoUnknown), owners.apply(List.of(unknown, alsoUnknown)));
  }

  @Test
  void addressThatAnEndpointHasLeftIsFree() {
    owners.apply(List.of(OLD));
    Endpoint moved = endpoint("old", OTHER_ADDRESS, 1000);
    assertEquals(List.of(moved, NEW), owners.apply(List.of(moved, NEW)));
    owners.apply(List.of(NEW.gone()));
    Endpoint older = endpoint("older", ADDRESS, 500);
    assertEquals(List.of(older), owners.apply(List.of(older)));
  }

  @Test
  void restartUnderTheSameNameReplacesNothing() {
    owners.apply(List.of(OLD));
    Endpoint restarted = endpoint("old", ADDRESS, 9500);
    assertEquals(List.of(restarted), owners.apply(List.of(restarted)));
  }
}
