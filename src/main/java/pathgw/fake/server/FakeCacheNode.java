package pathgw.fake.server;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import pathgw.fake.BackendObserver;
import pathgw.fake.Clock;
import pathgw.fake.Request;
import pathgw.fake.RequestReader;

/**
 * A cache node that speaks the meta protocol. It evicts the key used longest ago, starts with a
 * part of its capacity, crashes when overloaded while it warms up, and drains on command.
 */
public final class FakeCacheNode extends FakeServer {
  /**
   * What a node can take.
   *
   * @param slots how many requests it works on at a time
   * @param serviceTime the mean work of one request on a warm node
   * @param queueLength how many requests may wait
   * @param maxConnections how many connections it accepts
   * @param idleTimeout how long a connection may stand idle
   * @param initialCapacityFraction the share of its capacity that it starts with
   * @param warmUpDuration how long it warms up, its capacity growing evenly
   * @param crashMultiple a node that warms up crashes when it receives more than this multiple of
   *     its capacity for {@code overloadWindow}
   * @param maxValues how many values it stores
   * @param origin where it fetches what it lacks; null where it only stores
   */
  public record Parameters(
      int slots,
      Duration serviceTime,
      int queueLength,
      int maxConnections,
      Duration idleTimeout,
      double initialCapacityFraction,
      Duration warmUpDuration,
      double crashMultiple,
      Duration overloadWindow,
      int maxValues,
      FakeOrigin origin) {
    private ServerLimits limits() {
      return new ServerLimits(slots, serviceTime, queueLength, maxConnections, idleTimeout);
    }
  }

  private static final double OVERLOAD_SLACK_SQUARE_ROOTS = 2;
  private static final double OVERLOAD_SLACK_REQUESTS = 2;

  private final Parameters parameters;
  private final Duration warmUpStart;
  private final DedupMemory dedupMemory;
  private final OverloadWindow recentArrivals;
  private final Runnable crash;
  private final Map<String, Integer> storedVersions;
  private boolean draining;

  /**
   * Creates an empty node.
   *
   * @param warmUpStart when it started; null for a node that is warm already
   * @param dedupMemory of idempotency keys, shared with the nodes of its group
   * @param crash ends this node for good
   */
  public FakeCacheNode(
      String name,
      Clock clock,
      Random random,
      BackendObserver observer,
      FaultInjection faults,
      Parameters parameters,
      Duration warmUpStart,
      DedupMemory dedupMemory,
      Runnable crash) {
    super(name, clock, random, observer, faults, parameters.limits());
    this.parameters = parameters;
    this.warmUpStart = warmUpStart;
    this.dedupMemory = dedupMemory;
    this.crash = crash;
    recentArrivals =
        new OverloadWindow(
            parameters.overloadWindow(), OVERLOAD_SLACK_SQUARE_ROOTS, OVERLOAD_SLACK_REQUESTS);
    storedVersions = new LeastRecentlyUsedMap(parameters.maxValues());
  }

  /** The versions stored under each key, without the keys used longest ago. */
  private static final class LeastRecentlyUsedMap extends LinkedHashMap<String, Integer> {
    private static final long serialVersionUID = 1L;
    private static final int INITIAL_CAPACITY = 64;
    private static final float LOAD_FACTOR = 0.75f;

    private final int maxSize;

    LeastRecentlyUsedMap(int maxSize) {
      super(INITIAL_CAPACITY, LOAD_FACTOR, true);
      this.maxSize = maxSize;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
      return size() > maxSize;
    }
  }

  /** Whether the node is still warming up. */
  public boolean isCold() {
    return warmUpStart != null
        && clock.now().minus(warmUpStart).compareTo(parameters.warmUpDuration()) < 0;
  }

  /** The share of its capacity that it has at present, 0 to 1. */
  private double capacityFraction() {
    if (!isCold()) {
      return 1;
    }
    double gained = 1 - parameters.initialCapacityFraction();
    long elapsedNanos = clock.now().minus(warmUpStart).toNanos();
    return parameters.initialCapacityFraction()
        + gained * elapsedNanos / parameters.warmUpDuration().toNanos();
  }

  /** Finishes the requests that it has and rejects all others. */
  public void drain() {
    draining = true;
  }

  /** Removes all values. */
  public void flush() {
    storedVersions.clear();
  }

  /** Stores a version of a key's value. */
  public void store(String key, int version) {
    storedVersions.put(key, version);
  }

  /** Removes the value of a key. */
  public void remove(String key) {
    storedVersions.remove(key);
  }

  @Override
  RequestReader createReader(Consumer<Request> request, Runnable unreadable) {
    return RequestReader.meta(request, unreadable);
  }

  @Override
  double serviceTimeFactor() {
    return faults.slowdownFactor / capacityFraction();
  }

  @Override
  boolean rejectsAll() {
    return draining;
  }

  @Override
  DedupMemory dedupMemory() {
    return dedupMemory;
  }

  @Override
  boolean recordArrival(Request request, String proxyName) {
    if (!isCold()) {
      return true;
    }
    recentArrivals.add(clock.now(), proxyName, request.id());
    double capacity = limits.requestsPerSecond() * capacityFraction();
    double limit = parameters.crashMultiple() * capacity;
    observer.coldNodeLoad(recentArrivals.utilization(limit));
    if (!recentArrivals.exceeds(limit)) {
      return true;
    }
    observer.coldNodeCrashed(name, recentArrivals.arrivals());
    crash.run();
    return false;
  }

  @Override
  void execute(Request request, PendingReply reply) {
    // Looked up also where the request then fails: the lookup counts as a use of the key.
    Integer version = storedVersions.get(request.key());
    if (drawFault(faults.errorProbability)) {
      reply.send(failure());
    } else if (request.write()) {
      writeThrough(request, reply);
    } else if (version != null) {
      sendValue(request, reply, version, true);
    } else {
      observer.cacheMissed(name, request, isCold());
      miss(request, reply);
    }
  }

  private void writeThrough(Request request, PendingReply reply) {
    parameters
        .origin()
        .write(
            request,
            receipt -> {
              if (receipt != null) {
                completeWrite(request, reply, receipt);
              } else {
                reply.send(failure());
              }
            });
  }

  private void miss(Request request, PendingReply reply) {
    if (parameters.origin() == null) {
      reply.send(Buffer.buffer("EN O" + request.id() + "\r\n"));
      return;
    }
    parameters
        .origin()
        .read(
            request,
            reply.proxyName(),
            version -> {
              if (version != FakeOrigin.READ_FAILED) {
                store(request.key(), version);
                sendValue(request, reply, version, false);
              } else {
                reply.send(failure());
              }
            });
  }

  private void sendValue(Request request, PendingReply reply, int version, boolean hit) {
    String value = createValue(request, version);
    String flag = parameters.origin() == null ? "" : hit ? " h1" : " h0";
    String line = "VA " + value.length() + " O" + request.id() + flag;
    reply.send(Buffer.buffer(line + "\r\n" + value + "\r\n"));
  }

  @Override
  void sendReceipt(Request request, PendingReply reply, String receipt) {
    reply.send(Buffer.buffer("HD O" + request.id() + " c" + receipt + "\r\n"));
  }

  @Override
  Buffer rejection() {
    return Buffer.buffer("SERVER_ERROR busy\r\n");
  }

  @Override
  Buffer failure() {
    return Buffer.buffer("SERVER_ERROR failed\r\n");
  }

  @Override
  String withWrongId(String reply) {
    return reply.replaceFirst(" O[0-9a-f]", " Oz");
  }

  @Override
  String withWrongLength(String reply) {
    return reply.replaceFirst("VA \\d+", "VA 3").replaceFirst("^(EN|HD|SERV)", "V$1");
  }

  @Override
  String withExcessiveLength(String reply) {
    return "VA 3000000000 O0\r\n" + "x".repeat(300);
  }
}
