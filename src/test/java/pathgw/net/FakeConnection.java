package pathgw.net;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import java.util.function.Consumer;
import pathgw.config.Address;

/** One side of a connection; the test is the other, sees what is written and gives what is read. */
public final class FakeConnection implements Pipe {
  public final StringBuilder written = new StringBuilder();
  public int timesWritten;
  public boolean closed;
  public boolean endsWriting;
  public boolean full;

  /** Whether what is written reaches the network. */
  public boolean writes = true;

  public String from = "127.0.0.1";
  private Consumer<Buffer> reader;
  private Consumer<Over> whenOver;
  private Runnable whenRoom;

  public void gives(String bytes) {
    if (reader != null) {
      reader.accept(Buffer.buffer(bytes));
    }
  }

  public void drains() {
    full = false;
    whenRoom.run();
  }

  public void breaks() {
    over(Over.BROKEN);
  }

  /** The test's side says that no more comes. */
  public void ends() {
    over(Over.ORDERLY);
  }

  private void over(Over how) {
    closed = true;
    if (whenOver != null) {
      whenOver.accept(how);
    }
  }

  @Override
  public void reads(Consumer<Buffer> came) {
    reader = came;
  }

  @Override
  public void whenOver(Consumer<Over> over) {
    whenOver = over;
  }

  @Override
  public void whenRoom(Runnable room) {
    whenRoom = room;
  }

  @Override
  public Future<Void> write(Buffer bytes) {
    written.append(bytes);
    timesWritten++;
    return writes ? Future.succeededFuture() : Promise.<Void>promise().future();
  }

  @Override
  public boolean full() {
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
  public void endWriting() {
    endsWriting = true;
  }

  @Override
  public Address here() {
    return new Address(from, 1);
  }

  @Override
  public Address there() {
    return here();
  }
}
