package pathgw.simulation.invariant;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * State that all invariants of one run share: the clock, the cluster, the requests, and the
 * violations and counters.
 */
final class RunContext {
  /**
   * Added to each time limit because a proxy on real sockets is slower than one in the simulation.
   */
  static final long SOCKET_ALLOWANCE_NANOS = 50_000_000;

  /**
   * The longest transit time of a response to its client, or of a client's disconnect to the proxy.
   */
  static final long MAX_TRANSIT_NANOS = 10_000_000;

  static final int NANOS_PER_MILLI = 1_000_000;

  final Trace trace;
  final ClusterView cluster;
  final InvariantLimits limits;
  final ViolationLog violations;
  final RunCounters counters;
  private final LongSupplier clock;
  private final Map<String, RequestRecord> requests = new HashMap<>();

  RunContext(LongSupplier clock, Trace trace, ClusterView cluster, InvariantLimits limits) {
    this.clock = clock;
    this.trace = trace;
    this.cluster = cluster;
    this.limits = limits;
    violations = new ViolationLog(clock, trace);
    counters = new RunCounters(clock);
  }

  long nowNanos() {
    return clock.getAsLong();
  }

  /** Returns the record of a request, or null if no client sent it. */
  RequestRecord request(String id) {
    return requests.get(id);
  }

  void add(RequestRecord request) {
    requests.put(request.id(), request);
  }

  /** Adds an event to the digest and a line to the trace. */
  void event(long event, Supplier<String> text) {
    trace.addToDigest(nowNanos(), event);
    trace.addLine(nowNanos(), text);
  }

  /** Returns the number in a proxy's name, such as 7 for {@code p7}. */
  static int proxyNumber(String proxy) {
    return Integer.parseInt(proxy.substring(1));
  }
}
