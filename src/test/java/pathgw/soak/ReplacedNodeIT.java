package pathgw.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A new process comes up at the address of a cache node that has gone, under another name. */
@Timeout(60)
class ReplacedNodeIT extends SoakFixture {
  private static final int READS = 200;
  private static final long INTERVAL_MS = 8;
  private static final long LONGEST_WAIT_MS = 1800;
  private static final long LIST_DELAY_MS = 300;
  private static final int REPLACED = 0;

  /** What the endpoint list says once the new process is ready. */
  private enum ListUpdate {
    CHANGE_NAMES_THE_NEW_ONE,
    CHANGE_NAMES_BOTH,
    COMPLETE_LIST_STILL_HAS_THE_FORMER,
    COMPLETE_LIST_HAS_THE_NEW_ONE
  }

  private void announce(ListUpdate update) {
    String former = cluster.nodeEntry(REPLACED);
    String replacement = cluster.replacementEntry(REPLACED, System.currentTimeMillis());
    switch (update) {
      case CHANGE_NAMES_THE_NEW_ONE -> cluster.announce(false, replacement);
      case CHANGE_NAMES_BOTH -> cluster.announce(false, replacement, former);
      case COMPLETE_LIST_STILL_HAS_THE_FORMER ->
          cluster.announce(true, cluster.listEntries() + "," + replacement);
      case COMPLETE_LIST_HAS_THE_NEW_ONE ->
          cluster.announce(true, cluster.listEntries().replace(former, replacement));
      default -> throw new AssertionError(update);
    }
  }

  private void send(List<ClientRequest> reads) throws Exception {
    for (ClientRequest read : reads) {
      cluster.onLoop(() -> clients.sendAgain(read));
      Thread.sleep(INTERVAL_MS);
    }
    Thread.sleep(LONGEST_WAIT_MS);
  }

  /** Guards against a cold process that gets the keys of the one whose address it has. */
  @ParameterizedTest
  @CsvSource({
    "96, CHANGE_NAMES_THE_NEW_ONE",
    "128, CHANGE_NAMES_BOTH",
    "192, COMPLETE_LIST_STILL_HAS_THE_FORMER",
    "96, COMPLETE_LIST_HAS_THE_NEW_ONE"
  })
  void newProcessAtTheAddressOfAnotherIsNotTakenForIt(int memoryMb, ListUpdate update)
      throws Exception {
    startProxy(memoryMb);
    for (int i = 0; i < READS; i++) {
      cluster.onLoop(() -> clients.sendPatiently(RequestClass.READ));
      Thread.sleep(INTERVAL_MS);
    }
    Thread.sleep(LONGEST_WAIT_MS);
    List<ClientRequest> ofFormer =
        cluster.requests.values().stream().filter(read -> read.firstNode == REPLACED).toList();
    assertTrue(ofFormer.size() > READS / SoakCluster.NODES / 2, ofFormer.size() + " keys");
    cluster.onLoop(() -> announce(update));
    Thread.sleep(LIST_DELAY_MS);
    send(ofFormer);
    long atSameAddress = ofFormer.stream().filter(read -> read.firstNode == REPLACED).count();
    // By its own name the new process has a quarter of the keys, and fewer while it is cold.
    assertTrue(
        atSameAddress <= ofFormer.size() / 2, atSameAddress + " of " + ofFormer.size() + " keys");
    long lost = cluster.requests.values().stream().filter(ClientRequest::isLost).count();
    assertEquals(0, lost, proxy.log());
    assertEquals(List.of(), cluster.violations, proxy.log());
  }
}
