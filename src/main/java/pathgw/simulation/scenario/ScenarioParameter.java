package pathgw.simulation.scenario;

import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * A numeric parameter of a scenario: its word in scenario files, its unit, its bounds, and the
 * accessor of its value.
 */
public enum ScenarioParameter {
  /** {@link Scenario#seed()}. */
  SEED("", 0, ScenarioParameter.UNBOUNDED, Scenario::seed),
  /** {@link Scenario#durationMs()}. */
  LASTS("ms", 0, 3_600_000, Scenario::durationMs),
  /** {@link Scenario#proxies()}. */
  PROXIES("", 1, 1024, Scenario::proxies),
  /** {@link Scenario#nodes()}. */
  NODES("", 1, 4096, Scenario::nodes),
  /** {@link Scenario#dedupWindowMs()}. */
  MEMORY("ms", 1, ScenarioParameter.UNBOUNDED, Scenario::dedupWindowMs),
  /** {@link Scenario#requestsPerSecond()}. */
  RATE("/s", 0.1, 100_000, Scenario::requestsPerSecond),
  /** {@link Scenario#keys()}. */
  KEYS("", 1, 1_000_000, Scenario::keys),
  /** {@link Scenario#zipfExponent()}. */
  SKEW("", 0, ScenarioParameter.UNBOUNDED, Scenario::zipfExponent),
  /** {@link Scenario#invalidClientsPerSecond()}. */
  RUDE("/s", 0, ScenarioParameter.UNBOUNDED, Scenario::invalidClientsPerSecond),
  /** {@link Scenario#warmUpRounds()}. */
  WARM_UP("", 0, ScenarioParameter.UNBOUNDED, Scenario::warmUpRounds),
  /** {@link Scenario#capacityFactor()}. */
  ROOM("", 0.1, 1000, Scenario::capacityFactor),
  /** {@link Scenario#coldCrashMultiple()}. */
  TIPS("", 0.1, 1000, Scenario::coldCrashMultiple),
  /** {@link Scenario#maxDescriptors()}. */
  SOCKETS("", 128, ScenarioParameter.UNBOUNDED, Scenario::maxDescriptors),
  /** {@link Scenario#idleClientShare()}. */
  STAY("", 0, 1, Scenario::idleClientShare),
  /** {@link Scenario.Fleet#zones()}. */
  ZONES("", 1, 26, scenario -> scenario.fleet().zones()),
  /** {@link Scenario.Fleet#trafficSkew()}. */
  UNEVEN("", 0, 4, scenario -> scenario.fleet().trafficSkew()),
  /** {@link Scenario.Fleet#maxConnectionsPerNode()}. */
  PLACES("", 1, ScenarioParameter.UNBOUNDED, scenario -> scenario.fleet().maxConnectionsPerNode()),
  /** {@link Scenario.Fleet#discoveryCallsPerSecond()}. */
  CALLS(
      "/s", 0, ScenarioParameter.UNBOUNDED, scenario -> scenario.fleet().discoveryCallsPerSecond());

  private static final double UNBOUNDED = 1e15;
  private static final String NUMBER_PATTERN = "\\d{1,15}(\\.\\d{1,9})?";

  private final String unit;
  private final double minimum;
  private final double maximum;

  @SuppressWarnings("ImmutableEnumChecker") // The method references are stateless.
  private final ToDoubleFunction<Scenario> getter;

  ScenarioParameter(
      String unit, double minimum, double maximum, ToDoubleFunction<Scenario> getter) {
    this.unit = unit;
    this.minimum = minimum;
    this.maximum = maximum;
    this.getter = getter;
  }

  /** Returns the word for this parameter in scenario files. */
  String word() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the value of this parameter in a scenario. */
  public double of(Scenario scenario) {
    return getter.applyAsDouble(scenario);
  }

  static ScenarioParameter ofWord(String word) {
    for (ScenarioParameter parameter : values()) {
      if (parameter.word().equals(word)) {
        return parameter;
      }
    }
    throw new IllegalArgumentException("'" + word + "' is no known word");
  }

  /**
   * Parses a value with its unit.
   *
   * @throws IllegalArgumentException if the text is not a number, has another unit or is out of
   *     bounds
   */
  double parse(String text) {
    if (!text.matches(NUMBER_PATTERN + unit)) {
      String withUnit = unit.isEmpty() ? "" : " with its unit, " + unit;
      throw new IllegalArgumentException("'" + word() + "' needs a number" + withUnit);
    }
    double value = Double.parseDouble(text.substring(0, text.length() - unit.length()));
    if (value > maximum || value < minimum) {
      throw new IllegalArgumentException(
          "'" + word() + "' is not between " + format(minimum) + " and " + (long) maximum);
    }
    return value;
  }

  /** Returns the line of a scenario file that sets this parameter to a value. */
  String line(double value) {
    return word() + " " + format(value) + unit + "\n";
  }

  private static String format(double value) {
    return value == Math.rint(value)
        ? Long.toString((long) value)
        : String.format(Locale.ROOT, "%.3f", value);
  }
}
