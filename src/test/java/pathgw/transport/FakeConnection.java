package pathgw.transport;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import java.util.function.Consumer;
import pathgw.config.Address;

/** One side of a connection; the test is the other, sees what is written and gives what is read. */
public final class FakeConnection implements Connection {
  public final StringBuilder written = new StringBuilder();
  public int timesWritten;
  public boolean closed;
  public boolean endsWriting;
  public boolean full;

  /** Whether what is written reaches the network. */
  public boolean writes = true;

  public String from = "127.0.0.1";
  private Consumer<Buffer> reader;
  private Consumer<CloseReason> onClose;
  private Runnable onWritable;

  public void gives(String bytes) {
    if (reader != null) {
      reader.accept(Buffer.buffer(bytes));
    }
  }

  public void drains() {
    full = false;
    onWritable.run();
  }

  public void breaks() {
    over(CloseReason.BROKEN);
  }

  /** The test's side says that no more comes. */
  public void ends() {
    over(CloseReason.END_OF_STREAM);
  }

  private void over(CloseReason how) {
    closed = true;
    if (onClose != null) {
      onClose.accept(how);
    }
  }

  @Override
  public void onData(Consumer<Buffer> came) {
    reader = came;
  }

  @Override
  public void onClose(Consumer<CloseReason> over) {
    onClose = over;
  }

  @Override
  public void onWritable(Runnable room) {
    onWritable = room;
  }

  @Override
  public Future<Void> write(Buffer bytes) {
    written.append(bytes);
    timesWritten++;
    return writes ? Future.succeededFuture() : Promise.<Void>promise().future();
  }

  @Override
  public boolean isWriteQueueFull() {
    return full;
  }

  @Override
  public void pause() {}

  @Override
  public void resume() {}

  @Override
  public void close() {
    breaks();
  }

  @Override
  public void shutdownOutput() {
    endsWriting = true;
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
