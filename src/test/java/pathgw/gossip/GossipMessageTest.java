package pathgw.gossip;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the encoding of gossip datagrams. */
class GossipMessageTest {
  private static final long NODE = 0x0102030405060708L;

  @Test
  void nodeIsEncodedHighestByteFirstAndThenTheOutcome() {
    assertArrayEquals(
        new byte[] {1, 2, 3, 4, 5, 6, 7, 8, 1}, new GossipMessage(NODE, true).encode().getBytes());
    assertArrayEquals(
        new byte[] {1, 2, 3, 4, 5, 6, 7, 8, 0}, new GossipMessage(NODE, false).encode().getBytes());
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void encodedMessageIsDecoded(boolean success) {
    GossipMessage message = new GossipMessage(-NODE, success);
    assertTrue(GossipMessage.hasMessageLength(message.encode()));
    assertEquals(message, GossipMessage.decode(message.encode()));
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 8, 10})
  void datagramOfOtherLengthIsNoMessage(int length) {
    assertFalse(GossipMessage.hasMessageLength(Buffer.buffer(new byte[length])));
  }
}
