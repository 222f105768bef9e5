package pathgw.simulation.network;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import pathgw.config.Address;
import pathgw.transport.Connection;

/**
 * One end of a connection between two processes.
 *
 * <p>Bytes arrive in order, after a delay, and may be split at any position. They are lost if the
 * connection is reset or a machine is cut off.
 */
public final class VirtualConnection implements Connection {
  /** Unread bytes that both machines' buffers hold; beyond this, writes stay pending. */
  private static final int WINDOW_BYTES = 1 << 18;

  /** From this many unread bytes on, the write queue counts as full. */
  private static final int WRITE_QUEUE_FULL_BYTES = 1 << 16;

  /** The writable handler runs once a full write queue has fallen to this many unread bytes. */
  private static final int WRITABLE_AGAIN_BYTES = WRITE_QUEUE_FULL_BYTES / 2;

  private final VirtualNetwork network;
  private final VirtualProcess owner;
  private final Address localAddress;
  private final Address remoteAddress;
  private final ArrayDeque<Buffer> unreadBuffers = new ArrayDeque<>();
  private final ArrayDeque<Promise<Void>> pendingWrites = new ArrayDeque<>();
  private VirtualConnection remoteEnd;
  private Consumer<Buffer> dataHandler;
  private Consumer<Buffer> writeObserver = bytes -> {};
  private Consumer<CloseReason> closeHandler = reason -> {};
  private Runnable writableHandler = () -> {};

  /** When this end was accepted; -1 for a dialled end. */
  private long acceptedAtNanos = -1;

  private boolean paused;
  private boolean closed;
  private boolean closeNotified;
  private boolean outputShutDown;
  private CloseReason closeReason = CloseReason.END_OF_STREAM;

  /**
   * Bytes that would arrive after this time are lost; bytes that have arrived can still be read.
   */
  private long lostAfterNanos = Long.MAX_VALUE;

  /** Whether the write queue was full since the last call of the writable handler. */
  private boolean writableEventPending;

  /** The number of bytes written here that the remote end has not read. */
  private long unreadByRemote;

  /** When the last bytes sent here arrive at the remote end. */
  private long lastArrivalNanos;

  VirtualConnection(
      VirtualNetwork network, VirtualProcess owner, Address localAddress, Address remoteAddress) {
    this.network = network;
    this.owner = owner;
    this.localAddress = localAddress;
    this.remoteAddress = remoteAddress;
    owner.opened(this);
  }

  static void linkEnds(VirtualConnection first, VirtualConnection second) {
    first.remoteEnd = second;
    second.remoteEnd = first;
  }

  /** Marks this end as accepted now. */
  void markAccepted() {
    acceptedAtNanos = network.now();
  }

  /** Returns the process at the remote end. */
  public VirtualProcess remoteOwner() {
    return remoteEnd.owner;
  }

  /**
   * Delays all bytes sent from this end until the connection is established.
   *
   * @param untilNanos virtual time at which the connection is established
   */
  void delayArrivalsUntil(long untilNanos) {
    lastArrivalNanos = Math.max(lastArrivalNanos, untilNanos);
  }

  /**
   * Sets the observer of all bytes written at this end, which receives them at the time of the
   * write.
   */
  public void observeWrites(Consumer<Buffer> observer) {
    writeObserver = observer;
  }

  /** Whether the remote end has not yet read everything that was written at this end. */
  public boolean hasUnreadBytesAtRemote() {
    return unreadByRemote > 0;
  }

  @Override
  public void onData(Consumer<Buffer> handler) {
    dataHandler = handler;
    if (!unreadBuffers.isEmpty()) {
      network.runAfterDueEvents(owner, this::deliverUnread);
    }
  }

  @Override
  public void onClose(Consumer<CloseReason> handler) {
    closeHandler = handler;
  }

  @Override
  public void onWritable(Runnable handler) {
    writableHandler = handler;
  }

  @Override
  public Future<Void> write(Buffer original) {
    if (closed) {
      return Future.failedFuture(new IOException("connection closed"));
    }
    Buffer bytes = original.copy();
    if (network.resetsDuringWriteTo(remoteEnd.owner)) {
      Buffer half = bytes.slice(0, bytes.length() / 2).copy();
      writeObserver.accept(half);
      send(half);
      reset();
      return Future.failedFuture(new IOException("connection reset"));
    }
    writeObserver.accept(bytes);
    send(bytes);
    if (unreadByRemote <= WINDOW_BYTES) {
      return Future.succeededFuture();
    }
    Promise<Void> written = Promise.promise();
    pendingWrites.add(written);
    return written.future();
  }

  private void send(Buffer bytes) {
    if (bytes.length() == 0) {
      return;
    }
    unreadByRemote += bytes.length();
    writableEventPending |= isWriteQueueFull();
    int split = network.splitPosition(bytes.length());
    if (split > 0) {
      sendPiece(bytes.slice(0, split).copy());
      sendPiece(bytes.slice(split, bytes.length()).copy());
    } else {
      sendPiece(bytes);
    }
  }

  private void sendPiece(Buffer bytes) {
    lastArrivalNanos = Math.max(lastArrivalNanos, network.arrivalNanos());
    long arrivalNanos = lastArrivalNanos;
    network.runAt(arrivalNanos, remoteEnd.owner, () -> remoteEnd.arrived(bytes, arrivalNanos));
  }

  private void arrived(Buffer bytes, long arrivalNanos) {
    if (closed || arrivalNanos > lostAfterNanos || owner.isCutOff() || remoteEnd.owner.isCutOff()) {
      return;
    }
    network.observeArrival(owner, bytes);
    unreadBuffers.add(bytes);
    deliverUnread();
  }

  private void deliverUnread() {
    while (!paused && !closed && dataHandler != null && !unreadBuffers.isEmpty()) {
      Buffer bytes = unreadBuffers.poll();
      // After a shutdown of this side's output, bytes that cross it are read and discarded, so they
      // do not count as read for the remote end.
      if (!outputShutDown) {
        remoteEnd.acknowledgeRead(bytes.length());
      }
      dataHandler.accept(bytes);
    }
  }

  private void acknowledgeRead(int length) {
    unreadByRemote -= length;
    while (unreadByRemote <= WINDOW_BYTES && !pendingWrites.isEmpty()) {
      Promise<Void> written = pendingWrites.poll();
      network.runAfterDueEvents(owner, written::complete);
    }
    if (writableEventPending && unreadByRemote <= WRITABLE_AGAIN_BYTES) {
      writableEventPending = false;
      network.runAfterDueEvents(owner, () -> writableHandler.run());
    }
  }

  @Override
  public boolean isWriteQueueFull() {
    return unreadByRemote >= WRITE_QUEUE_FULL_BYTES;
  }

  @Override
  public void pause() {
    paused = true;
  }

  @Override
  public void resume() {
    if (paused) {
      paused = false;
      network.runAfterDueEvents(owner, this::deliverUnread);
    }
  }

  /**
   * Closes the connection. If bytes are unread here, the remote end sees a reset and loses the
   * bytes that are in flight to it.
   */
  @Override
  public void close() {
    if (!closed) {
      boolean resets = !unreadBuffers.isEmpty();
      closeLocally();
      if (resets) {
        remoteEnd.markBroken();
      }
      notifyRemoteOfEnd();
    }
  }

  @Override
  public void shutdownOutput() {
    outputShutDown = true;
    notifyRemoteOfEnd();
  }

  /**
   * Resets the connection: each end is notified after its own delay, and bytes in flight are lost.
   */
  public void reset() {
    if (!closed) {
      closeLocally();
      lostAfterNanos = network.now();
      remoteEnd.markBroken();
      notifyRemoteOfEnd();
    }
  }

  private void markBroken() {
    lostAfterNanos = network.now();
    closeReason = CloseReason.BROKEN;
  }

  private void closeLocally() {
    closed = true;
    closeReason = CloseReason.BROKEN;
    owner.closed(this);
    network.runAfterDueEvents(owner, this::notifyClosed);
  }

  private void notifyRemoteOfEnd() {
    long arrivalNanos = Math.max(lastArrivalNanos, network.arrivalNanos());
    network.runAt(arrivalNanos, remoteEnd.owner, remoteEnd::remoteEnded);
  }

  /**
   * Handles the end of the connection by the remote end; a machine that is cut off is not notified.
   */
  private void remoteEnded() {
    if (!remoteEnd.owner.isCutOff() && !owner.isCutOff()) {
      notifyClosed();
    }
  }

  private void notifyClosed() {
    if (closeNotified) {
      return;
    }
    closeNotified = true;
    closed = true;
    owner.closed(this);
    while (!pendingWrites.isEmpty()) {
      pendingWrites.poll().fail(new IOException("connection closed"));
    }
    closeHandler.accept(closeReason);
  }

  @Override
  public Duration maxTimeSinceArrival() {
    return acceptedAtNanos < 0 ? Duration.ZERO : Duration.ofNanos(network.now() - acceptedAtNanos);
  }

  @Override
  public boolean isClosedByPeer() {
    return closed;
  }

  @Override
  public Address localAddress() {
    return localAddress;
  }

  @Override
  public Address remoteAddress() {
    return remoteAddress;
  }
}
