package pathgw.transport;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.function.Consumer;
import pathgw.config.Address;

/**
 * A connection whose other side is the test, which sees the bytes that are written and supplies the
 * bytes that are read.
 */
public final class FakeConnection implements Connection {
  public final StringBuilder written = new StringBuilder();
  public int writeCount;
  public boolean closed;
  public boolean outputShutDown;
  public boolean writeQueueFull;

  public Duration maxTimeSinceArrival = Duration.ZERO;

  /** Whether the other side has ended the stream although bytes before its end are unread. */
  public boolean closedByPeer;

  /** Whether writes complete, as they do once the bytes have been passed to the network. */
  public boolean completesWrites = true;

  /** The result of each write, unless {@link #completesWrites} is false. */
  public Future<Void> writes = Future.succeededFuture();

  /** The host of both addresses. */
  public String from = "127.0.0.1";

  /** Bytes that were read from the other side and will be delivered later in the iteration. */
  public long undeliveredBytes;

  /** Bytes that were written and that the network has not accepted. */
  public long unsentBytes;

  private Consumer<Buffer> reader;
  private Consumer<CloseReason> onClose;
  private Runnable onWritable;

  /** Delivers bytes to the reader, as the other side would. */
  public void deliver(String bytes) {
    if (reader != null) {
      reader.accept(Buffer.buffer(bytes));
    }
  }

  /** Makes room in the write queue. */
  public void drainWriteQueue() {
    writeQueueFull = false;
    onWritable.run();
  }

  /** Resets the connection, as the other side would. */
  public void reset() {
    close(CloseReason.BROKEN);
  }

  /** Ends the stream, as the other side would. */
  public void ends() {
    close(CloseReason.END_OF_STREAM);
  }

  private void close(CloseReason reason) {
    closed = true;
    if (onClose != null) {
      onClose.accept(reason);
    }
  }

  @Override
  public void onData(Consumer<Buffer> handler) {
    reader = handler;
  }

  @Override
  public void onClose(Consumer<CloseReason> handler) {
    onClose = handler;
  }

  @Override
  public void onWritable(Runnable handler) {
    onWritable = handler;
  }

  @Override
  public Future<Void> write(Buffer bytes) {
    written.append(bytes);
    writeCount++;
    return completesWrites ? writes : Promise.<Void>promise().future();
  }

  @Override
  public boolean isWriteQueueFull() {
    return writeQueueFull;
  }

  @Override
  public void pause() {}

  @Override
  public void resume() {}

  @Override
  public void close() {
    reset();
  }

  @Override
  public void shutdownOutput() {
    outputShutDown = true;
  }

  @Override
  public Duration maxTimeSinceArrival() {
    return maxTimeSinceArrival;
  }

  @Override
  public boolean isClosedByPeer() {
    return closedByPeer;
  }

  @Override
  public long unsentBytes() {
    return unsentBytes;
  }

  @Override
  public long undeliveredBytes() {
    return undeliveredBytes;
  }

  @Override
  public Address localAddress() {
    return new Address(from, 1);
  }

  @Override
  public Address remoteAddress() {
    return localAddress();
  }
}
