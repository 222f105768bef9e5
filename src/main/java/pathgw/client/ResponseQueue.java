package pathgw.client;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import pathgw.request.PendingResponse;
import pathgw.transport.Connection;
import pathgw.transport.EventLoopTimers;

/**
 * The responses that are owed to one client, in the order of its commands, and the bytes that it
 * has not accepted yet.
 */
final class ResponseQueue {
  private static final int MAX_PENDING_RESPONSES = 16;
  private static final int MAX_UNSENT_BYTES = 1 << 22;

  /** The transport copies each buffer as a whole to memory outside the heap. */
  private static final int MAX_WRITE_BYTES = 1 << 16;

  private final Connection connection;
  private final EventLoopTimers timers;
  private final ArrayDeque<PendingResponse> pending = new ArrayDeque<>();
  private final ArrayDeque<Buffer> unsent = new ArrayDeque<>();
  private int unsentBytes;
  private Duration lastWriteAt;
  private Future<Void> lastWrite = Future.succeededFuture();

  ResponseQueue(Connection connection, EventLoopTimers timers) {
    this.connection = connection;
    this.timers = timers;
    lastWriteAt = timers.now();
  }

  void add(PendingResponse response) {
    pending.add(response);
  }

  /** Whether nothing is owed and everything has been handed to the connection. */
  boolean isEmpty() {
    return pending.isEmpty() && unsent.isEmpty();
  }

  /** Whether no further command should be read until responses have been sent. */
  boolean isFull() {
    return pending.size() >= MAX_PENDING_RESPONSES || !unsent.isEmpty();
  }

  /** Queues the completed responses for writing, up to the first that is pending. */
  void dequeueCompleted() {
    while (!pending.isEmpty() && pending.peek().isCompleted()) {
      Buffer response = pending.poll().bytes();
      unsent.add(response);
      unsentBytes += response.length();
    }
  }

  /** Whether more bytes are unsent than are kept for one client. */
  boolean isOverLimit() {
    return unsentBytes > MAX_UNSENT_BYTES;
  }

  /**
   * Writes as much as the connection accepts.
   *
   * @return whether anything was written
   */
  boolean writeUnsent() {
    boolean written = false;
    while (!unsent.isEmpty() && !connection.full()) {
      Buffer piece = pollPiece();
      unsentBytes -= piece.length();
      lastWriteAt = timers.now();
      lastWrite = connection.write(piece);
      written = true;
    }
    return written;
  }

  /** The next bytes to write: small responses together, a large one in pieces. */
  private Buffer pollPiece() {
    Buffer first = unsent.poll();
    if (first.length() > MAX_WRITE_BYTES) {
      unsent.addFirst(first.slice(MAX_WRITE_BYTES, first.length()));
      return first.slice(0, MAX_WRITE_BYTES);
    }
    if (!nextFitsBehind(first)) {
      return first;
    }
    Buffer joined = first.copy();
    while (nextFitsBehind(joined)) {
      joined.appendBuffer(unsent.poll());
    }
    return joined;
  }

  private boolean nextFitsBehind(Buffer piece) {
    return !unsent.isEmpty() && piece.length() + unsent.peek().length() <= MAX_WRITE_BYTES;
  }

  /** Writes bytes that are owed for no command. */
  void writeNow(Buffer bytes) {
    lastWrite = connection.write(bytes);
  }

  /** Whether unsent bytes have waited for the given time without any being accepted. */
  boolean isStuckFor(Duration time) {
    return !unsent.isEmpty() && lastWriteAt.plus(time).compareTo(timers.now()) <= 0;
  }

  /** When bytes were last written, or else when the queue was created. */
  Duration lastWriteAt() {
    return lastWriteAt;
  }

  /** Completes when the last bytes have gone to the network, or cannot any more. */
  Future<Void> lastWrite() {
    return lastWrite;
  }

  /** The client has gone: unsent bytes are dropped and the pending responses notified. */
  void clientGone() {
    unsent.clear();
    // Notifying one may complete others and change the queue, so a copy is iterated.
    List.copyOf(pending).forEach(PendingResponse::clientGone);
  }
}
