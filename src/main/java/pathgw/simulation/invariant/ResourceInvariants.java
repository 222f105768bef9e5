package pathgw.simulation.invariant;

import java.util.Locale;
import pathgw.server.ResourceUsage;

/**
 * Rule 5, the project's own requirements: resources stay within their limits and none leaks, no
 * exception is uncaught, proxies start, and service recovers after faults.
 */
final class ResourceInvariants {
  private static final int RULE = 5;

  /** Descriptors allowed for files, the selector, discovery, gossip and the listener. */
  private static final int OTHER_DESCRIPTORS = 40;

  private static final int MAX_REQUESTS_PER_CLIENT = 16;

  /** Service must have recovered if no fault was active for this long before the last request. */
  private static final long RECOVERY_TIME_MS = 9000;

  /**
   * Service need not recover if the remaining nodes can serve less than this multiple of the load.
   */
  private static final double MIN_CAPACITY_FACTOR = 2;

  private static final double MIN_RECOVERED_SERVICE_RATE = 0.8;
  private static final double MILLIS_PER_SECOND = 1000.0;

  private final RunContext run;

  ResourceInvariants(RunContext run) {
    this.run = run;
  }

  /** Checks the resource limits of a proxy; called after each of its events. */
  void checkBounds(int proxy, ResourceUsage usage) {
    if (usage.clients() > usage.maxClients()
        || usage.nodeConnections() > usage.maxNodeConnections()
        || usage.requests() > usage.maxClients() * MAX_REQUESTS_PER_CLIENT) {
      run.violations.report(RULE, "bounds", "p" + proxy + " exceeds its limits: " + usage);
    }
    int descriptors = usage.clients() + usage.nodeConnections() + OTHER_DESCRIPTORS;
    if (descriptors > run.limits.maxDescriptors()) {
      run.violations.report(
          RULE,
          "descriptors",
          "p"
              + proxy
              + " holds "
              + usage
              + " with a limit of "
              + run.limits.maxDescriptors()
              + " descriptors");
    }
  }

  /** Checks that a proxy holds no resources at the end of a run, when no client is left. */
  void checkNothingHeld(int proxy, ResourceUsage usage) {
    if (usage.requests() > 0 || usage.clients() > 0 || usage.nodeConnections() > 0) {
      run.violations.report(
          RULE, "leak", "p" + proxy + " still holds resources at the end of the run: " + usage);
    }
  }

  /** See {@link InvariantChecker#checkServiceRecovered}. */
  void checkServiceRecovered(double capacityFactor, long faultFreeMs, double serviceRate) {
    if (capacityFactor >= MIN_CAPACITY_FACTOR
        && faultFreeMs >= RECOVERY_TIME_MS
        && serviceRate < MIN_RECOVERED_SERVICE_RATE) {
      run.violations.report(
          RULE,
          "service",
          String.format(
              Locale.ROOT,
              "only %.2f of the first attempts were served %.1f s after the last fault",
              serviceRate,
              faultFreeMs / MILLIS_PER_SECOND));
    }
  }

  void handlerFailed(int proxy, RuntimeException error) {
    StackTraceElement[] stack = error.getStackTrace();
    String location = stack.length > 0 ? " at " + stack[0] : "";
    run.violations.report(RULE, "fault", "p" + proxy + ": " + error + location);
  }

  void startFailed(int proxy, Throwable error) {
    run.violations.report(RULE, "start", "p" + proxy + " failed to start: " + error);
  }
}
