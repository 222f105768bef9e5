package pathgw.simulation;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import pathgw.config.Address;
import pathgw.transport.Connection;

/**
 * One end of a connection between two processes: bytes arrive in order, late, cut anywhere, or not
 * at all.
 */
final class VirtualConnection implements Connection {
  /** What the two machines hold between them for a reader that does not read. */
  private static final int WINDOW = 1 << 18;

  private static final int FULL = 1 << 16;

  private final VirtualNetwork net;
  private final VirtualProcess owner;
  private final Address here;
  private final Address there;
  private final ArrayDeque<Buffer> unread = new ArrayDeque<>();
  private final ArrayDeque<Promise<Void>> unwritten = new ArrayDeque<>();
  private VirtualConnection other;
  private Consumer<Buffer> reader;
  private Consumer<Buffer> tap = bytes -> {};
  private Consumer<CloseReason> onClose = over -> {};
  private Runnable onWritable = () -> {};
  private boolean paused;
  private boolean closed;
  private boolean overTold;
  private boolean endsWriting;
  private CloseReason how = CloseReason.END_OF_STREAM;

  /** What arrives later than this is lost; what lies unread at the machine can still be read. */
  private long lostAfter = Long.MAX_VALUE;

  private boolean wasFull;
  private long onTheWay;
  private long arrives;

  VirtualConnection(VirtualNetwork net, VirtualProcess owner, Address here, Address there) {
    this.net = net;
    this.owner = owner;
    this.here = here;
    this.there = there;
    owner.connections.add(this);
  }

  static void join(VirtualConnection a, VirtualConnection b) {
    a.other = b;
    b.other = a;
  }

  VirtualProcess owner() {
    return owner;
  }

  /** Nobody hears of bytes on a connection, or of its end, before it has come up. */
  void nothingArrivesBefore(long at) {
    arrives = Math.max(arrives, at);
  }

  VirtualProcess ownerThere() {
    return other.owner;
  }

  /**
   * @param tap hears what is written here, as it is written
   */
  void tap(Consumer<Buffer> tap) {
    this.tap = tap;
  }

  /** Whether the other side has not read all that was written here. */
  boolean unreadThere() {
    return onTheWay > 0;
  }

  @Override
  public void onData(Consumer<Buffer> came) {
    reader = came;
    if (!unread.isEmpty()) {
      net.soon(owner, this::readOn);
    }
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
  public Future<Void> write(Buffer given) {
    if (closed) {
      return Future.failedFuture(new IOException("closed"));
    }
    Buffer bytes = given.copy();
    if (net.cutsBefore(other.owner)) {
      Buffer half = bytes.slice(0, bytes.length() / 2).copy();
      tap.accept(half);
      send(half);
      reset();
      return Future.failedFuture(new IOException("reset"));
    }
    tap.accept(bytes);
    send(bytes);
    if (onTheWay <= WINDOW) {
      return Future.succeededFuture();
    }
    Promise<Void> written = Promise.promise();
    unwritten.add(written);
    return written.future();
  }

  private void send(Buffer bytes) {
    if (bytes.length() == 0) {
      return;
    }
    onTheWay += bytes.length();
    wasFull |= isWriteQueueFull();
    int cut = net.cutsAt(bytes.length());
    if (cut > 0) {
      deliver(bytes.slice(0, cut).copy());
      deliver(bytes.slice(cut, bytes.length()).copy());
    } else {
      deliver(bytes);
    }
  }

  private void deliver(Buffer bytes) {
    arrives = Math.max(arrives, net.arrival());
    long at = arrives;
    net.at(at, other.owner, () -> other.arrived(bytes, at));
  }

  private void arrived(Buffer bytes, long at) {
    if (closed || at > lostAfter || owner.cutOff() || other.owner.cutOff()) {
      return;
    }
    net.seen(owner, bytes);
    unread.add(bytes);
    readOn();
  }

  private void readOn() {
    while (!paused && !closed && reader != null && !unread.isEmpty()) {
      Buffer bytes = unread.poll();
      if (!endsWriting) {
        other.read(bytes.length());
      }
      reader.accept(bytes);
    }
  }

  private void read(int length) {
    onTheWay -= length;
    while (onTheWay <= WINDOW && !unwritten.isEmpty()) {
      Promise<Void> written = unwritten.poll();
      net.soon(owner, written::complete);
    }
    if (wasFull && onTheWay <= FULL / 2) {
      wasFull = false;
      net.soon(owner, () -> onWritable.run());
    }
  }

  @Override
  public boolean isWriteQueueFull() {
    return onTheWay >= FULL;
  }

  @Override
  public void pause() {
    paused = true;
  }

  @Override
  public void resume() {
    if (paused) {
      paused = false;
      net.soon(owner, this::readOn);
    }
  }

  /** Closed on bytes that lie unread, a connection is reset, and what is on its way is lost. */
  @Override
  public void close() {
    if (!closed) {
      boolean resets = !unread.isEmpty();
      end();
      other.lostAfter = resets ? net.now() : other.lostAfter;
      other.how = resets ? CloseReason.BROKEN : other.how;
      net.at(Math.max(arrives, net.arrival()), other.owner, other::endedThere);
    }
  }

  @Override
  public void shutdownOutput() {
    // What crosses this end is read and thrown away, which is not taken.
    endsWriting = true;
    net.at(Math.max(arrives, net.arrival()), other.owner, other::endedThere);
  }

  /** Both ends hear of it, each in its time; what is on its way is lost. */
  void reset() {
    if (!closed) {
      end();
      lostAfter = net.now();
      other.lostAfter = net.now();
      other.how = CloseReason.BROKEN;
      net.at(Math.max(arrives, net.arrival()), other.owner, other::endedThere);
    }
  }

  private void end() {
    closed = true;
    how = CloseReason.BROKEN;
    owner.connections.remove(this);
    net.soon(owner, this::over);
  }

  /** The other side has ended it; a machine that is cut off is not told so. */
  private void endedThere() {
    if (!other.owner.cutOff() && !owner.cutOff()) {
      over();
    }
  }

  private void over() {
    if (!overTold) {
      overTold = true;
      closed = true;
      owner.connections.remove(this);
      while (!unwritten.isEmpty()) {
        unwritten.poll().fail(new IOException("closed"));
      }
      onClose.accept(how);
    }
  }

  @Override
  public Address localAddress() {
    return here;
  }

  @Override
  public Address remoteAddress() {
    return there;
  }
}
