package pathgw.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import org.junit.jupiter.api.Test;

/** Tests in which pieces bytes are given to the transport. */
class PieceWriterTest {
  private final FakeConnection connection = new FakeConnection();
  private final PieceWriter writer = new PieceWriter(connection, () -> 100, () -> {});

  /** Guards against bytes that are copied off the heap for a peer that does not read them. */
  @Test
  void nothingIsGivenToTheTransportWhileItHoldsHalfOfTheMaximum() {
    connection.unsentBytes = 51;
    writer.add(Buffer.buffer("x".repeat(500)));
    assertFalse(writer.write());
    assertEquals(500, writer.unwrittenBytes());
    connection.unsentBytes = 50;
    assertTrue(writer.write());
    assertEquals("x".repeat(500), connection.written.toString());
    assertEquals(10, connection.writeCount);
    assertTrue(writer.isEmpty());
  }

  @Test
  void smallBuffersAreWrittenTogetherInTheirOrder() {
    for (String text : new String[] {"a", "b", "", "c", "d".repeat(60), "e"}) {
      writer.add(Buffer.buffer(text));
    }
    writer.write();
    assertEquals("abc" + "d".repeat(60) + "e", connection.written.toString());
    assertEquals(3, connection.writeCount);
  }

  @Test
  void clearedBytesAreNotWritten() {
    connection.writeQueueFull = true;
    writer.add(Buffer.buffer("a"));
    assertFalse(writer.write());
    writer.clear();
    connection.writeQueueFull = false;
    assertFalse(writer.write());
    assertEquals("", connection.written.toString());
  }
}
