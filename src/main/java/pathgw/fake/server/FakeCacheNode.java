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
 * A fake cache node that speaks the meta protocol. It evicts the least recently used key and drains
 * on command. After a start it is cold: it warms up from a fraction of its capacity to all of it,
 * and crashes if it is overloaded meanwhile.
 */
public final class FakeCacheNode extends FakeServer {
  /**
   * The capacity of a node and its behavior under overload.
   *
   * @param slots how many requests the node processes in parallel
   * @param serviceTime the mean service time of one request on a warm node
   * @param queueLength how many requests may wait for a slot
   * @param maxConnections how many connections the node accepts
   * @param idleTimeout after how long an idle connection is closed
   * @param initialCapacityFraction the fraction of its capacity that a node has at its start, 0 to
   *     1
   * @param warmUpDuration the time from the start to the full capacity, which grows linearly
   * @param crashMultiple a node that is warming up crashes when the requests that arrive within
   *     {@code overloadWindow} exceed this multiple of its present capacity
   * @param overloadWindow the length of the sliding window in which arrivals are counted
   * @param maxValues how many values the node stores
   * @param origin receives reads that miss, and all writes; null if the node only stores values
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
   * Creates a node without values.
   *
   * @param warmUpStart when the node started cold, since the start of the run; null for a node that
   *     is warm from its start
   * @param dedupMemory idempotency keys, shared by the nodes that deduplicate together
   * @param crash ends the process of this node
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

  /** Maps keys to stored versions and evicts the least recently used key when it is full. */
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

  /** Returns whether the node is still warming up. */
  public boolean isCold() {
    return warmUpStart != null
        && clock.now().minus(warmUpStart).compareTo(parameters.warmUpDuration()) < 0;
  }

  /** Returns the fraction of its full capacity that the node has at present, 0 to 1. */
  private double capacityFraction() {
    if (!isCold()) {
      return 1;
    }
    double gained = 1 - parameters.initialCapacityFraction();
    long elapsedNanos = clock.now().minus(warmUpStart).toNanos();
    return parameters.initialCapacityFraction()
        + gained * elapsedNanos / parameters.warmUpDuration().toNanos();
  }

  /** Rejects all new requests; requests that were accepted before still complete. */
  public void drain() {
    draining = true;
  }

  /** Removes all values. */
  public void flush() {
    storedVersions.clear();
  }

  /** Stores a version of the value of a key. */
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
    // A request that fails below counts as a use of its key too, so the lookup comes first.
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
