package pathgw.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import pathgw.config.InvalidInputException;

/**
 * All that decides a run: its shape and its troubles. As text it is one thing a line; what a line
 * does not say is as in {@link #PLAIN}.
 *
 * @param lastsMs how long clients ask
 * @param through whether nodes fetch what they lack
 * @param group which nodes drop repeats: {@code all}, {@code zone} or {@code cell}
 * @param memoryMs for how long they do
 * @param rate requests a second over all proxies
 * @param skew exponent of Zipf's law
 * @param rude clients a second that send what is no command
 * @param warmUp rounds of requests that a proxy sends through itself
 * @param room how many times the steady load the nodes bear
 * @param tips a cold node falls over at so many times what it bears then
 * @param sockets descriptors of a proxy
 * @param stay the share of clients that ask once and keep their connection for good
 * @param fleet what only a large fleet makes felt
 * @param faults in the order of their times
 */
record Scenario(
    long seed,
    long lastsMs,
    int proxies,
    int nodes,
    boolean through,
    String group,
    long memoryMs,
    double rate,
    int keys,
    double skew,
    double rude,
    int warmUp,
    double room,
    double tips,
    int sockets,
    double stay,
    Fleet fleet,
    List<Fault> faults) {

  /**
   * @param zones over which the nodes are spread
   * @param uneven how unlike the proxies' traffic is: exponent of Zipf's law, 0 for all alike
   * @param places connections that a node takes
   * @param calls a second that the endpoint list works off in turn; 0 for any number
   */
  record Fleet(int zones, double uneven, int places, double calls) {
    Fleet with(String word, double to) {
      return new Fleet(
          word.equals("zones") ? (int) to : zones,
          word.equals("uneven") ? to : uneven,
          word.equals("places") ? (int) to : places,
          word.equals("calls") ? to : calls);
    }
  }

  static final Scenario PLAIN =
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

  Scenario with(List<Fault> faults) {
    return new Scenario(
        seed,
        lastsMs,
        proxies,
        nodes,
        through,
        group,
        memoryMs,
        rate,
        keys,
        skew,
        rude,
        warmUp,
        room,
        tips,
        sockets,
        stay,
        fleet,
        faults.stream().sorted().toList());
  }

  /** The same with one figure set, by the word that the text has for it. */
  Scenario with(String word, double to) {
    return new Scenario(
        word.equals("seed") ? (long) to : seed,
        word.equals("lasts") ? (long) to : lastsMs,
        word.equals("proxies") ? (int) to : proxies,
        word.equals("nodes") ? (int) to : nodes,
        through,
        group,
        word.equals("memory") ? (long) to : memoryMs,
        word.equals("rate") ? to : rate,
        word.equals("keys") ? (int) to : keys,
        word.equals("skew") ? to : skew,
        word.equals("rude") ? to : rude,
        word.equals("warm-up") ? (int) to : warmUp,
        word.equals("room") ? to : room,
        word.equals("tips") ? to : tips,
        word.equals("sockets") ? (int) to : sockets,
        word.equals("stay") ? to : stay,
        fleet.with(word, to),
        faults);
  }

  Scenario mode(String mode) {
    return new Scenario(
        seed,
        lastsMs,
        proxies,
        nodes,
        mode.equals("through"),
        group,
        memoryMs,
        rate,
        keys,
        skew,
        rude,
        warmUp,
        room,
        tips,
        sockets,
        stay,
        fleet,
        faults);
  }

  Scenario group(String group) {
    return new Scenario(
        seed, lastsMs, proxies, nodes, through, group, memoryMs, rate, keys, skew, rude, warmUp,
        room, tips, sockets, stay, fleet, faults);
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    line(text, "seed", seed, -1, "");
    line(text, "lasts", lastsMs, PLAIN.lastsMs, "ms");
    line(text, "proxies", proxies, PLAIN.proxies, "");
    line(text, "nodes", nodes, PLAIN.nodes, "");
    text.append(through ? "mode through\n" : "");
    text.append(group.equals(PLAIN.group) ? "" : "group " + group + "\n");
    line(text, "memory", memoryMs, PLAIN.memoryMs, "ms");
    line(text, "rate", rate, PLAIN.rate, "/s");
    line(text, "keys", keys, PLAIN.keys, "");
    line(text, "skew", skew, PLAIN.skew, "");
    line(text, "rude", rude, PLAIN.rude, "/s");
    line(text, "warm-up", warmUp, PLAIN.warmUp, "");
    line(text, "room", room, PLAIN.room, "");
    line(text, "tips", tips, PLAIN.tips, "");
    line(text, "sockets", sockets, PLAIN.sockets, "");
    line(text, "stay", stay, PLAIN.stay, "");
    line(text, "zones", fleet.zones, PLAIN.fleet.zones, "");
    line(text, "uneven", fleet.uneven, PLAIN.fleet.uneven, "");
    line(text, "places", fleet.places, PLAIN.fleet.places, "");
    line(text, "calls", fleet.calls, PLAIN.fleet.calls, "/s");
    faults.forEach(f -> text.append(f).append('\n'));
    return text.toString();
  }

  private static void line(
      StringBuilder text, String word, double value, double plain, String unit) {
    if (value != plain) {
      text.append(word).append(' ').append(number(value)).append(unit).append('\n');
    }
  }

  private static String number(double value) {
    return value == Math.rint(value)
        ? Long.toString((long) value)
        : String.format(Locale.ROOT, "%.3f", value);
  }

  /** Reads a script; blank lines and what follows a {@code #} say nothing. */
  static Scenario read(String text) {
    Scenario scenario = PLAIN;
    List<Fault> faults = new ArrayList<>();
    int number = 0;
    for (String line : text.split("\n", -1)) {
      number++;
      String said = line.replaceFirst("#.*", "").trim();
      try {
        if (said.startsWith("at ")) {
          faults.add(Fault.read(said));
        } else if (!said.isEmpty()) {
          scenario = scenario.read(said.split(" +"));
        }
      } catch (IllegalArgumentException e) {
        throw new InvalidInputException("line " + number + ": " + e.getMessage());
      }
    }
    return scenario.with(faults);
  }

  private Scenario read(String[] words) {
    if (words.length != 2) {
      throw new IllegalArgumentException("not one word and its value");
    }
    switch (words[0]) {
      case "mode" -> {
        return mode(one(words[1], "aside", "through"));
      }
      case "group" -> {
        return group(one(words[1], "all", "zone", "cell"));
      }
      default -> {}
    }
    String unit =
        switch (words[0]) {
          case "lasts", "memory" -> "ms";
          case "rate", "rude", "calls" -> "/s";
          case "seed",
              "proxies",
              "nodes",
              "keys",
              "skew",
              "warm-up",
              "room",
              "tips",
              "sockets",
              "stay",
              "zones",
              "uneven",
              "places" ->
              "";
          default -> throw new IllegalArgumentException("'" + words[0] + "' is no known word");
        };
    if (!words[1].matches("\\d{1,15}(\\.\\d{1,9})?" + unit)) {
      throw new IllegalArgumentException(
          "'" + words[0] + "' needs a number" + (unit.isEmpty() ? "" : " with its unit, " + unit));
    }
    double value = Double.parseDouble(words[1].substring(0, words[1].length() - unit.length()));
    double most =
        switch (words[0]) {
          case "lasts" -> 3_600_000;
          case "proxies" -> 1024;
          case "zones" -> 26;
          case "uneven" -> 4;
          case "nodes" -> 4096;
          case "rate" -> 100_000;
          case "keys" -> 1_000_000;
          case "stay" -> 1;
          case "room", "tips" -> 1000;
          default -> 1e15;
        };
    double least =
        switch (words[0]) {
          case "proxies", "nodes", "keys", "memory", "zones", "places" -> 1;
          case "sockets" -> 128;
          case "room", "tips", "rate" -> 0.1;
          default -> 0;
        };
    if (value > most || value < least) {
      throw new IllegalArgumentException(
          "'" + words[0] + "' is not between " + number(least) + " and " + (long) most);
    }
    return with(words[0], value);
  }

  private static String one(String word, String... known) {
    if (!List.of(known).contains(word)) {
      throw new IllegalArgumentException("'" + word + "' is none of " + String.join(", ", known));
    }
    return word;
  }

  /**
   * When the last trouble is over, in milliseconds; what lasts for good counts with its beginning.
   */
  long calmFromMs() {
    return faults.stream().mapToLong(f -> f.atMs() + f.forMs()).max().orElse(0);
  }
}
