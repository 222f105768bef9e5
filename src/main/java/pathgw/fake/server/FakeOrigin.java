package pathgw.fake.server;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import pathgw.fake.BackendObserver;
import pathgw.fake.Clock;
import pathgw.fake.Request;
import pathgw.fake.RequestReader;

/**
 * A fake origin that speaks HTTP. It has a value for every key, but capacity for only a small part
 * of the clients' requests. It goes down for a fixed time when reads overload it.
 */
public final class FakeOrigin extends FakeServer {
  /**
   * The capacity of the origin and its behavior under overload.
   *
   * @param slots how many requests the origin processes in parallel
   * @param serviceTime the mean service time of one request
   * @param queueLength how many requests may wait for a slot
   * @param maxConnections how many connections the origin accepts
   * @param idleTimeout after how long an idle connection is closed
   * @param overloadMultiple the origin goes down when the reads that arrive within {@code
   *     overloadWindow} exceed this multiple of its capacity; 0 if it never goes down
   * @param overloadWindow the length of the sliding window in which reads are counted
   * @param downTime how long the origin stays down after an overload
   * @param keyRetention how long the origin keeps an idempotency key after its first request
   */
  public record Parameters(
      int slots,
      Duration serviceTime,
      int queueLength,
      int maxConnections,
      Duration idleTimeout,
      double overloadMultiple,
      Duration overloadWindow,
      Duration downTime,
      Duration keyRetention) {
    private ServerLimits limits() {
      return new ServerLimits(slots, serviceTime, queueLength, maxConnections, idleTimeout);
    }
  }

  /** Receives the events at the origin that change which values the cache nodes store. */
  public interface CacheListener {
    /** Called when the origin answers a read that a proxy sends to it after a miss. */
    void valueFetched(Request request, int version);

    /** Called when a write has made the values that cache nodes store for a key stale. */
    void valueOutdated(String key);
  }

  /** Passed to the callback of a failed read in place of a version. */
  static final int READ_FAILED = -1;

  private static final double OVERLOAD_SLACK_SQUARE_ROOTS = 3;
  private static final double OVERLOAD_SLACK_REQUESTS = 4;
  private static final Duration FAILURE_DELAY = Duration.ofMillis(2);

  /**
   * One in this many replies, on average, has no Content-Length, and one in this many follows an
   * interim response.
   */
  private static final int REPLIES_PER_UNUSUAL_REPLY = 16;

  private static final Pattern CONTENT_LENGTH = Pattern.compile("Content-Length: (\\d+)");

  /** By how much a declared length that is too short is less than the length of the body. */
  private static final int MISSING_BYTES = 4;

  private static final int RECEIPT_RADIX = 36;

  private final Parameters parameters;
  private final CacheListener cacheListener;
  private final DedupMemory dedupMemory;
  private final OverloadWindow recentArrivals;
  private final Map<String, Integer> versions = new TreeMap<>();
  private Duration downUntil = Duration.ZERO;
  private long receiptCount;

  /** Creates an origin in which every key has version 0. */
  public FakeOrigin(
      String name,
      Clock clock,
      Random random,
      BackendObserver observer,
      FaultInjection faults,
      Parameters parameters,
      CacheListener cacheListener) {
    super(name, clock, random, observer, faults, parameters.limits());
    this.parameters = parameters;
    this.cacheListener = cacheListener;
    dedupMemory = new DedupMemory(parameters.keyRetention());
    recentArrivals =
        new OverloadWindow(
            parameters.overloadWindow(), OVERLOAD_SLACK_SQUARE_ROOTS, OVERLOAD_SLACK_REQUESTS);
  }

  /** Returns the version of a key, which is the number of writes to it so far. */
  private int version(String key) {
    return versions.getOrDefault(key, 0);
  }

  private boolean down() {
    return clock.now().compareTo(downUntil) < 0;
  }

  private void countRead(Request request, String proxyName) {
    recentArrivals.add(clock.now(), proxyName, request.id());
    double limit = parameters.overloadMultiple() * limits.requestsPerSecond();
    if (parameters.overloadMultiple() > 0 && !down() && recentArrivals.exceeds(limit)) {
      observer.originWentDown(recentArrivals.arrivals());
      downUntil = clock.now().plus(parameters.downTime());
    }
  }

  /**
   * Reads a key for a cache node on which a read missed.
   *
   * @param proxyName the proxy that sent the read to the cache node
   * @param version receives the version, or {@link #READ_FAILED}
   */
  void read(Request request, String proxyName, IntConsumer version) {
    countRead(request, proxyName);
    if (down() || workers.full()) {
      clock.schedule(FAILURE_DELAY, () -> version.accept(READ_FAILED));
    } else {
      workers.submit(() -> version.accept(version(request.key())));
    }
  }

  /**
   * Writes a key for a cache node that writes through.
   *
   * @param receipt receives the receipt, or null if the write failed
   */
  void write(Request request, Consumer<String> receipt) {
    if (down() || workers.full()) {
      clock.schedule(FAILURE_DELAY, () -> receipt.accept(null));
    } else {
      workers.submit(() -> receipt.accept(applyWrite(request)));
    }
  }

  private String applyWrite(Request request) {
    versions.merge(request.key(), 1, Integer::sum);
    cacheListener.valueOutdated(request.key());
    receiptCount++;
    return Long.toString(receiptCount, RECEIPT_RADIX) + "-" + name;
  }

  @Override
  RequestReader createReader(Consumer<Request> request, Runnable unreadable) {
    return RequestReader.http(request, unreadable);
  }

  @Override
  double serviceTimeFactor() {
    return faults.slowdownFactor;
  }

  @Override
  boolean rejectsAll() {
    return down();
  }

  @Override
  DedupMemory dedupMemory() {
    return dedupMemory;
  }

  @Override
  boolean recordArrival(Request request, String proxyName) {
    if (!request.write()) {
      countRead(request, proxyName);
    }
    return true;
  }

  @Override
  void execute(Request request, PendingReply reply) {
    if (drawFault(faults.errorProbability)) {
      reply.send(failure());
    } else if (request.write()) {
      completeWrite(request, reply, applyWrite(request));
    } else {
      int version = version(request.key());
      cacheListener.valueFetched(request, version);
      sendOk(request, reply, createValue(request, version));
    }
  }

  @Override
  void sendReceipt(Request request, PendingReply reply, String receipt) {
    sendOk(request, reply, receipt);
  }

  /**
   * Sends a successful reply. Some replies have no Content-Length, so that their body ends with the
   * connection, and some follow an interim response.
   */
  private void sendOk(Request request, PendingReply reply, String body) {
    String head = "HTTP/1.1 200 OK\r\nX-Txn: " + request.id() + "\r\n";
    if (random.nextInt(REPLIES_PER_UNUSUAL_REPLY) == 0) {
      reply.sendLast(Buffer.buffer(head + "\r\n" + body));
      return;
    }
    boolean interim = random.nextInt(REPLIES_PER_UNUSUAL_REPLY) == 0;
    String before = interim ? "HTTP/1.1 102 Processing\r\n\r\n" : "";
    String length = "Content-Length: " + body.length() + "\r\n";
    reply.send(Buffer.buffer(before + head + length + "\r\n" + body));
  }

  @Override
  Buffer rejection() {
    return Buffer.buffer("HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
  }

  @Override
  Buffer failure() {
    return Buffer.buffer("HTTP/1.1 500 Failed\r\nContent-Length: 1\r\n\r\nx");
  }

  @Override
  String withWrongId(String reply) {
    return reply.replaceFirst("X-Txn: [0-9a-f]", "X-Txn: z").replaceFirst(" 50", " 999 50");
  }

  @Override
  String withWrongLength(String reply) {
    Matcher length = CONTENT_LENGTH.matcher(reply);
    boolean hasLongBody = length.find() && Integer.parseInt(length.group(1)) > MISSING_BYTES;
    if (hasLongBody && random.nextBoolean()) {
      int tooShort = Integer.parseInt(length.group(1)) - MISSING_BYTES;
      return length.replaceFirst("Content-Length: " + tooShort);
    }
    return reply.replaceFirst("Content-Length: ", "Content-Length: 1\r\nContent-Length: ");
  }

  @Override
  String withExcessiveLength(String reply) {
    return reply.replaceFirst("Content-Length: \\d+", "Content-Length: 3000000000");
  }
}
