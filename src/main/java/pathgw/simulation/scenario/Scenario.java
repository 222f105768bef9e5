package pathgw.simulation.scenario;

import java.util.List;

/**
 * Everything that decides a run: the shape of the cluster, its load and its faults.
 *
 * @param seed decides all random draws of the run
 * @param durationMs how long clients send requests
 * @param proxies how many proxies there are
 * @param nodes how many cache nodes there are at first
 * @param readThrough whether cache nodes fetch from the origin what they lack
 * @param dedupScope which nodes share their memory of idempotency keys: {@code all}, {@code zone}
 *     or {@code cell}
 * @param dedupWindowMs how long an idempotency key is remembered
 * @param requestsPerSecond over all proxies
 * @param keys how many keys there are
 * @param zipfExponent how unequal the popularity of keys is
 * @param invalidClientsPerSecond clients that send an invalid command
 * @param warmUpRounds rounds of requests that a proxy sends through itself before it serves
 * @param capacityFactor how many times the steady load the nodes can serve
 * @param coldCrashMultiple a cold node fails at this many times the load that it can serve then
 * @param maxDescriptors file descriptors of a proxy
 * @param idleClientShare the share of clients that send one request and then stay connected
 * @param fleet what only a large fleet makes felt
 * @param faults in the order of their times
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
   * What only a large fleet makes felt.
   *
   * @param zones over which the nodes are spread
   * @param trafficSkew how unequal the proxies' traffic is: exponent of Zipf's law, 0 for all alike
   * @param maxConnectionsPerNode connections that a node accepts
   * @param discoveryCallsPerSecond that discovery serves one after another; 0 for any number
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

  /** What a scenario's text has for its mode. */
  public static final String READ_THROUGH = "through";

  /** The other mode: the proxy fetches from the origin what a node lacks. */
  public static final String LOOK_ASIDE = "aside";

  /** What a scenario's text need not say. */
  public static final Scenario DEFAULTS =
      new Scenario(
          1,
          20_000,
          2,
          6,
          false,
          "all",
          400,
          40,
          100,
          1,
          0,
          0,
          3,
          3,
          1024,
          0,
          new Fleet(2, 0, 60, 0),
          List.of());

  /**
   * Reads a scenario's text.
   *
   * @throws pathgw.config.InvalidInputException if a line cannot be read; the message names it
   */
  public static Scenario parse(String text) {
    return ScenarioFormat.parse(text);
  }

  /** The text that {@link #parse} reads. */
  @Override
  public String toString() {
    return ScenarioFormat.write(this);
  }

  /** The same with other faults, which are sorted by time. */
  public Scenario withFaults(List<Fault> faults) {
    return copy(readThrough, dedupScope, faults.stream().sorted().toList());
  }

  /** The same in another mode, {@link #READ_THROUGH} or {@link #LOOK_ASIDE}. */
  public Scenario withMode(String mode) {
    return copy(mode.equals(READ_THROUGH), dedupScope, faults);
  }

  /** The same with another {@link #dedupScope()}. */
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

  /** The same with one figure set. */
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

  /** When the last fault is over, in milliseconds; a permanent one counts with its beginning. */
  public long lastFaultEndMs() {
    return faults.stream().mapToLong(fault -> fault.atMs() + fault.activeMs()).max().orElse(0);
  }
}
