package pathgw.simulation.scenario;

import java.util.ArrayList;
import java.util.List;
import pathgw.config.InvalidInputException;

/**
 * Reads and writes the text form of a scenario, with one parameter, choice or fault per line.
 *
 * <p>A parameter or choice without a line has its value in {@link Scenario#DEFAULTS}. Blank lines
 * and comments, which start with a {@code #}, are ignored.
 */
final class ScenarioFormat {
  private static final String MODE = "mode";
  private static final String GROUP = "group";
  private static final String FAULT_PREFIX = "at ";

  private ScenarioFormat() {}

  /** Returns the text of a scenario. */
  static String write(Scenario scenario) {
    StringBuilder text = new StringBuilder();
    for (ScenarioParameter parameter : ScenarioParameter.values()) {
      double value = parameter.of(scenario);
      if (parameter == ScenarioParameter.SEED || value != parameter.of(Scenario.DEFAULTS)) {
        text.append(parameter.line(value));
      }
      if (parameter == ScenarioParameter.NODES) {
        writeChoices(text, scenario);
      }
    }
    scenario.faults().forEach(fault -> text.append(fault).append('\n'));
    return text.toString();
  }

  private static void writeChoices(StringBuilder text, Scenario scenario) {
    if (scenario.readThrough()) {
      text.append(MODE + " " + Scenario.READ_THROUGH + "\n");
    }
    if (!scenario.dedupScope().equals(Scenario.DEFAULTS.dedupScope())) {
      text.append(GROUP + " ").append(scenario.dedupScope()).append('\n');
    }
  }

  /**
   * Parses the text of a scenario.
   *
   * @throws InvalidInputException if a line cannot be parsed; the message names the line
   */
  static Scenario parse(String text) {
    Scenario scenario = Scenario.DEFAULTS;
    List<Fault> faults = new ArrayList<>();
    int lineNumber = 0;
    for (String line : text.split("\n", -1)) {
      lineNumber++;
      String content = line.replaceFirst("#.*", "").trim();
      try {
        if (content.startsWith(FAULT_PREFIX)) {
          faults.add(Fault.parse(content));
        } else if (!content.isEmpty()) {
          scenario = parseLine(scenario, content.split(" +"));
        }
      } catch (IllegalArgumentException e) {
        throw new InvalidInputException("line " + lineNumber + ": " + e.getMessage());
      }
    }
    return scenario.withFaults(faults);
  }

  private static Scenario parseLine(Scenario scenario, String[] words) {
    if (words.length != 2) {
      throw new IllegalArgumentException("expected one word and its value");
    }
    return switch (words[0]) {
      case MODE -> scenario.withMode(oneOf(words[1], Scenario.LOOK_ASIDE, Scenario.READ_THROUGH));
      case GROUP -> scenario.withDedupScope(oneOf(words[1], "all", "zone", "cell"));
      default -> {
        ScenarioParameter parameter = ScenarioParameter.ofWord(words[0]);
        yield scenario.with(parameter, parameter.parse(words[1]));
      }
    };
  }

  private static String oneOf(String word, String... choices) {
    if (!List.of(choices).contains(word)) {
      throw new IllegalArgumentException("'" + word + "' is none of " + String.join(", ", choices));
    }
    return word;
  }
}
