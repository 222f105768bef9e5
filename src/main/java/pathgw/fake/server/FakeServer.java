package pathgw.fake.server;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import pathgw.fake.BackendObserver;
import pathgw.fake.Clock;
import pathgw.fake.ConnectionHandler;
import pathgw.fake.ConnectionSide;
import pathgw.fake.Request;
import pathgw.fake.RequestReader;

/**
 * The common part of the fake cache node and the fake origin: bounded connections, a bounded
 * request queue, deduplication by idempotency keys, and injected faults. Subclasses implement the
 * protocol, the storage and the behavior under overload.
 */
abstract class FakeServer {
  /** The ways in which {@link #corrupt} makes a reply invalid. */
  private enum Corruption {
    NOISE,
    WRONG_ID,
    WRONG_LENGTH,
    TRUNCATED,
    EXCESSIVE_LENGTH,
    NO_LINE_END
  }

  private static final List<Corruption> CORRUPTIONS = List.of(Corruption.values());
  private static final int UNTERMINATED_LINE_BYTES = 2000;
  private static final char IDEMPOTENCY_KEY_LABEL = 'k';

  final String name;
  final Clock clock;
  final Random random;
  final BackendObserver observer;
  final FaultInjection faults;
  final ServerLimits limits;
  final WorkerQueue workers;
  private int connections;

  /**
   * Creates a server without connections.
   *
   * @param name the name that is reported to the observer
   * @param random the source of all random choices
   * @param faults the faults in effect, which the caller may change at any time
   */
  FakeServer(
      String name,
      Clock clock,
      Random random,
      BackendObserver observer,
      FaultInjection faults,
      ServerLimits limits) {
    this.name = name;
    this.clock = clock;
    this.random = random;
    this.observer = observer;
    this.faults = faults;
    this.limits = limits;
    workers = new WorkerQueue(clock, random, limits, this::serviceTimeFactor);
  }

  /**
   * Accepts a connection, up to the limit.
   *
   * @param proxyName the proxy that connects
   * @param side the server's side of the connection
   * @return the handler of the connection, or null if the server has its maximum of connections
   */
  public final ConnectionHandler accept(String proxyName, ConnectionSide side) {
    if (connections >= limits.maxConnections()) {
      return null;
    }
    connections++;
    return new ServerConnection(this, proxyName, side);
  }

  final void connectionEnded() {
    connections--;
  }

  final Duration idleTimeout() {
    return limits.idleTimeout();
  }

  /**
   * Creates a reader for the protocol of this server.
   *
   * @param request receives each complete request
   * @param unreadable called for input that is no request
   */
  abstract RequestReader createReader(Consumer<Request> request, Runnable unreadable);

  /** Returns the factor by which requests take longer than their usual service time. */
  abstract double serviceTimeFactor();

  /** Returns whether the server rejects every request at present. */
  abstract boolean rejectsAll();

  /**
   * Counts an arriving request towards the load that may overload the server.
   *
   * @param proxyName the proxy that sent the request
   * @return whether the server still runs; false if this arrival made it crash
   */
  abstract boolean recordArrival(Request request, String proxyName);

  /** Returns the store of idempotency keys that this server uses. */
  abstract DedupMemory dedupMemory();

  /** Executes a request and replies; called at the end of the request's service time. */
  abstract void execute(Request request, PendingReply reply);

  /** Sends the reply to a write, which carries its receipt. */
  abstract void sendReceipt(Request request, PendingReply reply, String receipt);

  /** Returns the reply to a request that was rejected without being executed. */
  abstract Buffer rejection();

  /** Returns the reply to a request that was executed and failed. */
  abstract Buffer failure();

  /** Replaces the request id in a reply by one that the request doesn't have. */
  abstract String withWrongId(String reply);

  /** Changes a reply so that it contradicts its declared length. */
  abstract String withWrongLength(String reply);

  /** Changes a reply so that it declares a length above any limit of a reader. */
  abstract String withExcessiveLength(String reply);

  /** Returns an invalid copy of a reply, corrupted in a randomly drawn way. */
  final Buffer corrupt(Buffer reply) {
    Corruption corruption = CORRUPTIONS.get(random.nextInt(CORRUPTIONS.size()));
    String text = reply.toString();
    return Buffer.buffer(
        switch (corruption) {
          case NOISE -> "\u0007\u0001~~~ noise\r\n";
          case WRONG_ID -> withWrongId(text);
          case WRONG_LENGTH -> withWrongLength(text);
          case TRUNCATED -> text.substring(0, text.length() / 2);
          case EXCESSIVE_LENGTH -> withExcessiveLength(text);
          case NO_LINE_END -> "y".repeat(UNTERMINATED_LINE_BYTES);
        });
  }

  /**
   * Draws whether a fault occurs. A probability of zero draws no random number, so that a fault
   * that isn't injected leaves the sequence of random numbers unchanged.
   */
  final boolean drawFault(double probability) {
    return probability > 0 && random.nextDouble() < probability;
  }

  /** Rejects a request or accepts it for execution. */
  final void handle(Request request, PendingReply reply) {
    if (rejectsAll() || drawFault(faults.rejectionProbability)) {
      reject(request, reply);
    } else if (recordArrival(request, reply.proxyName())) {
      // Checked again because the arrival itself may have overloaded the server.
      if (rejectsAll() || workers.full()) {
        reject(request, reply);
      } else {
        submitUnlessRepeated(request, reply);
      }
    }
  }

  private void reject(Request request, PendingReply reply) {
    observer.requestRejected(name, request);
    reply.send(rejection());
  }

  /**
   * Accepts a request for execution. A write whose idempotency key is already stored isn't executed
   * but receives the receipt of the first write with that key.
   */
  private void submitUnlessRepeated(Request request, PendingReply reply) {
    String idempotencyKey = idempotencyKey(request);
    boolean repeated =
        request.write()
            && !idempotencyKey.isEmpty()
            && dedupMemory()
                .isRepeat(
                    idempotencyKey, clock.now(), receipt -> acknowledge(request, reply, receipt));
    observer.requestAccepted(name, request, repeated);
    if (!repeated) {
      workers.submit(() -> execute(request, reply));
    }
  }

  /** Replies to a write that was executed, and to all repeats that wait for its receipt. */
  final void completeWrite(Request request, PendingReply reply, String receipt) {
    dedupMemory().complete(idempotencyKey(request), receipt);
    acknowledge(request, reply, receipt);
  }

  private void acknowledge(Request request, PendingReply reply, String receipt) {
    observer.replyCreated(name, request, receipt);
    sendReceipt(request, reply, receipt);
  }

  private static String idempotencyKey(Request request) {
    return request.label(IDEMPOTENCY_KEY_LABEL);
  }

  /**
   * Creates the value that answers a read. It contains the request id and is reported to the
   * observer, so that a reply that reaches the wrong request is detected.
   */
  final String createValue(Request request, int version) {
    String value = "v" + version + ":" + request.key() + ":" + request.id() + ":" + name;
    observer.replyCreated(name, request, value);
    return value;
  }
}
