package pathgw.simulation.scenario;

import java.util.List;

/**
 * All inputs of a run: the shape of the cluster, its load and its faults.
 *
 * @param seed determines all random draws of the run
 * @param durationMs for how many milliseconds clients send requests
 * @param proxies number of proxies
 * @param nodes number of cache nodes at the start
 * @param readThrough whether cache nodes fetch missing values from the origin themselves
 * @param dedupScope which nodes share remembered idempotency keys: {@code all}, {@code zone} or
 *     {@code cell}
 * @param dedupWindowMs how many milliseconds an idempotency key is remembered
 * @param requestsPerSecond the steady load, over all proxies
 * @param keys number of distinct keys
 * @param zipfExponent exponent of Zipf's law for the popularity of keys; 0 if all are alike
 * @param invalidClientsPerSecond how many clients send an invalid command, per second
 * @param warmUpRounds how many rounds of warm-up requests a proxy sends through itself before it
 *     serves
 * @param capacityFactor capacity of all nodes together, as a multiple of the steady load
 * @param coldCrashMultiple a node that is warming up crashes at this multiple of the load that it
 *     can serve at that time
 * @param maxDescriptors the file descriptor limit of a proxy
 * @param idleClientShare the share of clients that send one request and then stay connected
 * @param fleet settings that matter only in large fleets
 * @param faults sorted by time
 */
public record Scenario(
    long seed,
    long durationMs,
    int proxies,
    int nodes,
    boolean readThrough,
    String dedupScope,
    long dedupWindowMs,
    double requestsPerSecond,
    int keys,
    double zipfExponent,
    double invalidClientsPerSecond,
    int warmUpRounds,
    double capacityFactor,
    double coldCrashMultiple,
    int maxDescriptors,
    double idleClientShare,
    Fleet fleet,
    List<Fault> faults) {

  /**
   * Settings that matter only in large fleets.
   *
   * @param zones number of zones over which the nodes are spread
   * @param trafficSkew exponent of Zipf's law for the proxies' traffic; 0 if all get the same
   * @param maxConnectionsPerNode how many connections a node accepts
   * @param discoveryCallsPerSecond how many calls discovery serves per second, one after another; 0
   *     for no limit
   */
  public record Fleet(
      int zones, double trafficSkew, int maxConnectionsPerNode, double discoveryCallsPerSecond) {
    private Fleet with(ScenarioParameter parameter, double value) {
      return new Fleet(
          parameter == ScenarioParameter.ZONES ? (int) value : zones,
          parameter == ScenarioParameter.UNEVEN ? value : trafficSkew,
          parameter == ScenarioParameter.PLACES ? (int) value : maxConnectionsPerNode,
          parameter == ScenarioParameter.CALLS ? value : discoveryCallsPerSecond);
    }
  }

  /** The mode in which cache nodes fetch missing values from the origin themselves. */
  public static final String READ_THROUGH = "through";

  /** The mode in which proxies fetch missing values from the origin. */
  public static final String LOOK_ASIDE = "aside";

  /** The values that a scenario file may omit. */
  public static final Scenario DEFAULTS =
      new Scenario(
          /* seed= */ 1,
          /* durationMs= */ 20_000,
          /* proxies= */ 2,
          /* nodes= */ 6,
          /* readThrough= */ false,
          /* dedupScope= */ "all",
          /* dedupWindowMs= */ 400,
          /* requestsPerSecond= */ 40,
          /* keys= */ 100,
          /* zipfExponent= */ 1,
          /* invalidClientsPerSecond= */ 0,
          /* warmUpRounds= */ 0,
          /* capacityFactor= */ 3,
          /* coldCrashMultiple= */ 3,
          /* maxDescriptors= */ 1024,
          /* idleClientShare= */ 0,
          new Fleet(
              /* zones= */ 2,
              /* trafficSkew= */ 0,
              /* maxConnectionsPerNode= */ 60,
              /* discoveryCallsPerSecond= */ 0),
          List.of());

  /**
   * Parses the text of a scenario.
   *
   * @throws pathgw.config.InvalidInputException if a line cannot be parsed; the message names the
   *     line
   */
  public static Scenario parse(String text) {
    return ScenarioFormat.parse(text);
  }

  /** Returns the text that {@link #parse} reads. */
  @Override
  public String toString() {
    return ScenarioFormat.write(this);
  }

  /** Returns a copy with other faults, which are sorted by time. */
  public Scenario withFaults(List<Fault> faults) {
    return copy(readThrough, dedupScope, faults.stream().sorted().toList());
  }

  /** Returns a copy with another mode, {@link #READ_THROUGH} or {@link #LOOK_ASIDE}. */
  public Scenario withMode(String mode) {
    return copy(mode.equals(READ_THROUGH), dedupScope, faults);
  }

  /** Returns a copy with another {@link #dedupScope()}. */
  public Scenario withDedupScope(String dedupScope) {
    return copy(readThrough, dedupScope, faults);
  }

  private Scenario copy(boolean readThrough, String dedupScope, List<Fault> faults) {
    return new Scenario(
        seed,
        durationMs,
        proxies,
        nodes,
        readThrough,
        dedupScope,
        dedupWindowMs,
        requestsPerSecond,
        keys,
        zipfExponent,
        invalidClientsPerSecond,
        warmUpRounds,
        capacityFactor,
        coldCrashMultiple,
        maxDescriptors,
        idleClientShare,
        fleet,
        faults);
  }

  /** Returns a copy with one parameter set to another value. */
  public Scenario with(ScenarioParameter parameter, double value) {
    return new Scenario(
        parameter == ScenarioParameter.SEED ? (long) value : seed,
        parameter == ScenarioParameter.LASTS ? (long) value : durationMs,
        parameter == ScenarioParameter.PROXIES ? (int) value : proxies,
        parameter == ScenarioParameter.NODES ? (int) value : nodes,
        readThrough,
        dedupScope,
        parameter == ScenarioParameter.MEMORY ? (long) value : dedupWindowMs,
        parameter == ScenarioParameter.RATE ? value : requestsPerSecond,
        parameter == ScenarioParameter.KEYS ? (int) value : keys,
        parameter == ScenarioParameter.SKEW ? value : zipfExponent,
        parameter == ScenarioParameter.RUDE ? value : invalidClientsPerSecond,
        parameter == ScenarioParameter.WARM_UP ? (int) value : warmUpRounds,
        parameter == ScenarioParameter.ROOM ? value : capacityFactor,
        parameter == ScenarioParameter.TIPS ? value : coldCrashMultiple,
        parameter == ScenarioParameter.SOCKETS ? (int) value : maxDescriptors,
        parameter == ScenarioParameter.STAY ? value : idleClientShare,
        fleet.with(parameter, value),
        faults);
  }

  /**
   * Returns when the last fault ends, in milliseconds since the run began; of a permanent fault,
   * its beginning counts.
   */
  public long lastFaultEndMs() {
    return faults.stream().mapToLong(fault -> fault.atMs() + fault.activeMs()).max().orElse(0);
  }
}
