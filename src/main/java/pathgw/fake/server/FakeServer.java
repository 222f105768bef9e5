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
 * What the fake cache node and the fake origin share: a bounded number of connections, a bounded
 * queue of work, idempotency keys and injected faults. A subclass has its own protocol, storage and
 * behaviour under overload.
 */
abstract class FakeServer {
  /** The ways in which a reply is made invalid. */
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
   * @param name as observers know it
   * @param random the source of all random choices
   * @param faults what goes wrong at present; the caller changes it at any time
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
   * Takes a connection.
   *
   * @param proxyName the proxy that connects
   * @return the handler of the connection, or null where the server accepts no more
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

  /** Creates a reader of this server's protocol. */
  abstract RequestReader createReader(Consumer<Request> request, Runnable unreadable);

  /** How many times its usual time work takes at present. */
  abstract double serviceTimeFactor();

  /** Whether the server rejects every request at present. */
  abstract boolean rejectsAll();

  /**
   * Counts an arriving request against the server's capacity.
   *
   * @return false where the server crashed of it
   */
  abstract boolean recordArrival(Request request, String proxyName);

  /** The memory of idempotency keys that this server uses. */
  abstract DedupMemory dedupMemory();

  /** Does the work of a request at the end of its service time, and replies. */
  abstract void execute(Request request, PendingReply reply);

  /** Replies to a write. */
  abstract void sendReceipt(Request request, PendingReply reply, String receipt);

  /** The reply to a request that was not taken on. */
  abstract Buffer rejection();

  /** The reply to a request that ran and failed. */
  abstract Buffer failure();

  /** Makes the request's id in a reply that of another request. */
  abstract String withWrongId(String reply);

  /** Makes a reply contradict its length. */
  abstract String withWrongLength(String reply);

  /** Gives a reply a length that no reader accepts. */
  abstract String withExcessiveLength(String reply);

  /** Makes an invalid reply out of a valid one, in a random way. */
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

  /** Draws whether a fault happens; draws nothing while its share is zero. */
  final boolean drawFault(double probability) {
    return probability > 0 && random.nextDouble() < probability;
  }

  /** Rejects a request or takes it on. */
  final void handle(Request request, PendingReply reply) {
    if (rejectsAll() || drawFault(faults.rejectionProbability)) {
      reject(request, reply);
    } else if (recordArrival(request, reply.proxyName())) {
      // The arrival may have overloaded the server.
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

  /** A write whose idempotency key is known does not run: it gets the first one's receipt. */
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

  /** Replies to a write that has run, and to all repeats of it that wait. */
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

  /** The value of a read: unlike any other request's, so that mixed-up replies are found. */
  final String createValue(Request request, int version) {
    String value = "v" + version + ":" + request.key() + ":" + request.id() + ":" + name;
    observer.replyCreated(name, request, value);
    return value;
  }
}
