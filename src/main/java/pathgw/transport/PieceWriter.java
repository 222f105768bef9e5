package pathgw.transport;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayDeque;
import java.util.function.IntSupplier;

/**
 * Writes bytes to a connection in pieces, as fast as the network takes them. What the transport has
 * been given and the network has not taken is copied off the heap, so it is kept small; the rest
 * waits on the heap.
 */
public final class PieceWriter {
  private final Connection connection;
  private final IntSupplier maxUnsentBytes;
  private final Runnable onSent;
  private final ArrayDeque<Buffer> unwritten = new ArrayDeque<>();
  private long unwrittenBytes;
  private Future<Void> lastWrite = Future.succeededFuture();

  /**
   * Creates a writer that has nothing to write.
   *
   * @param maxUnsentBytes supplies how many bytes the transport may hold at most
   * @param onSent runs when bytes have been sent, or could not be sent; calls {@link #write} for
   *     those that wait
   */
  public PieceWriter(Connection connection, IntSupplier maxUnsentBytes, Runnable onSent) {
    this.connection = connection;
    this.maxUnsentBytes = maxUnsentBytes;
    this.onSent = onSent;
  }

  /** Adds bytes behind all others. They must not be changed afterwards. */
  public void add(Buffer bytes) {
    if (bytes.length() > 0) {
      unwritten.add(bytes);
      unwrittenBytes += bytes.length();
    }
  }

  /**
   * Writes as many bytes as the connection accepts.
   *
   * @return whether any bytes were written
   */
  public boolean write() {
    boolean written = false;
    while (!unwritten.isEmpty() && acceptsPiece()) {
      Buffer piece = pollPiece(maxPieceBytes());
      unwrittenBytes -= piece.length();
      lastWrite = connection.write(piece);
      written = true;
    }
    if (written) {
      lastWrite.onComplete(sent -> onSent.run());
    }
    return written;
  }

  private int maxPieceBytes() {
    return maxUnsentBytes.getAsInt() / 2;
  }

  private boolean acceptsPiece() {
    return !connection.isWriteQueueFull() && connection.unsentBytes() <= maxPieceBytes();
  }

  /** Removes the next bytes to write: several small buffers, or a piece of a large one. */
  private Buffer pollPiece(int maxBytes) {
    Buffer first = unwritten.poll();
    if (first.length() > maxBytes) {
      unwritten.addFirst(first.slice(maxBytes, first.length()));
      return first.slice(0, maxBytes);
    }
    if (!nextFitsAfter(first, maxBytes)) {
      return first;
    }
    Buffer joined = first.copy();
    while (nextFitsAfter(joined, maxBytes)) {
      joined.appendBuffer(unwritten.poll());
    }
    return joined;
  }

  private boolean nextFitsAfter(Buffer piece, int maxBytes) {
    return !unwritten.isEmpty() && piece.length() + unwritten.peek().length() <= maxBytes;
  }

  /** Whether all bytes have been given to the transport. */
  public boolean isEmpty() {
    return unwritten.isEmpty();
  }

  /** The number of bytes that the transport has not been given. */
  public long unwrittenBytes() {
    return unwrittenBytes;
  }

  /** Completes when the last bytes that were written have been sent or have failed. */
  public Future<Void> lastWrite() {
    return lastWrite;
  }

  /** Drops the bytes that the transport has not been given. */
  public void clear() {
    unwritten.clear();
    unwrittenBytes = 0;
  }
}
