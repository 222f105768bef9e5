package pathgw.simulation.invariant;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** What all rules of one run share: the clock, the world, the requests and where results go. */
final class RunContext {
  /** How much later than in the simulator each limit ends, for a proxy on sockets. */
  static final long SOCKET_ALLOWANCE_NANOS = 50_000_000;

  /** How long a response may take to its client, and a client's leaving to the proxy. */
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

  /** The record of a request, or null if no client sent it. */
  RequestRecord request(String id) {
    return requests.get(id);
  }

  void add(RequestRecord request) {
    requests.put(request.id(), request);
  }

  /** Adds an event to the digest and its text to the trace. */
  void event(long event, Supplier<String> text) {
    trace.addToDigest(nowNanos(), event);
    trace.addLine(nowNanos(), text);
  }

  /** The number in a proxy's name, such as 7 in {@code p7}. */
  static int proxyNumber(String proxy) {
    return Integer.parseInt(proxy.substring(1));
  }
}
