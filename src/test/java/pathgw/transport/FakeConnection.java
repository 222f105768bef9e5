package pathgw.transport;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import java.util.function.Consumer;
import pathgw.config.Address;

/** A connection whose other side is the test: it sees what is written and supplies what is read. */
public final class FakeConnection implements Connection {
  public final StringBuilder written = new StringBuilder();
  public int writeCount;
  public boolean closed;
  public boolean outputShutDown;
  public boolean writeQueueFull;

  /** Whether what is written reaches the network. */
  public boolean completesWrites = true;

  public String from = "127.0.0.1";
  private Consumer<Buffer> reader;
  private Consumer<CloseReason> onClose;
  private Runnable onWritable;

  public void deliver(String bytes) {
    if (reader != null) {
      reader.accept(Buffer.buffer(bytes));
    }
  }

  public void drainWriteQueue() {
    writeQueueFull = false;
    onWritable.run();
  }

  public void reset() {
    close(CloseReason.BROKEN);
  }

  /** The other side ends the stream. */
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
    return completesWrites ? Future.succeededFuture() : Promise.<Void>promise().future();
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
  public Address localAddress() {
    return new Address(from, 1);
  }

  @Override
  public Address remoteAddress() {
    return localAddress();
  }
}
