package pathgw.simulation.scenario;

import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One fault of a run.
 *
 * @param atMs when it begins, in milliseconds since the run began
 * @param activeMs how long it lasts in milliseconds; 0 for good
 * @param kind what goes wrong
 * @param target the number of a node or proxy, modulo how many there are; -1 if the kind has none
 * @param magnitude how strong it is, in the measure of its kind
 */
public record Fault(long atMs, long activeMs, Kind kind, int target, double magnitude)
    implements Comparable<Fault> {
  /** The target of faults that concern no single node or proxy. */
  public static final int NO_TARGET = -1;

  /** What a kind of fault concerns. */
  public enum Scope {
    /** One cache node. */
    NODE,
    /** One proxy. */
    PROXY,
    /** Everything else: discovery, origin, gossip, clients, or many processes at once. */
    CLUSTER
  }

  /** Every kind of fault; the names, in lower case, are the words of the scenario text. */
  public enum Kind {
    /** The process ends; when it starts again, it is cold. */
    DIES(Scope.NODE, false),
    /** As before, but it comes back at another address. */
    MOVES(Scope.NODE, false),
    /** It stalls: accepts everything, answers nothing, and continues later. */
    FREEZES(Scope.NODE, false),
    /** The machine is cut off: silence, then resets. */
    VANISHES(Scope.NODE, false),
    /** Work takes this many times as long. */
    SLOW(Scope.NODE, true),
    /** A draining node: listed as such, then it refuses new requests, then it ends. */
    DRAINS(Scope.NODE, false),
    /** All its copies are lost. */
    FLUSHED(Scope.NODE, false),
    /** Connections to it come up as much as this many milliseconds late. */
    CONNECTS_LATE(Scope.NODE, true),
    /** This share of writes to it is cut off before the last byte. */
    CUTS(Scope.NODE, true),
    /** Connections are reset once the command has arrived. */
    RESETS(Scope.NODE, true),
    /** Connections are closed under a command, which does not run. */
    CLOSES(Scope.NODE, true),
    /** Responses are invalid. */
    SPOILS(Scope.NODE, true),
    /** Responses have more bytes behind them. */
    BABBLES(Scope.NODE, true),
    /** Errors after the request ran. */
    FAILS(Scope.NODE, true),
    /** Requests are rejected. */
    BUSY(Scope.NODE, true),
    /** A new cold node is added. */
    GROWS(Scope.CLUSTER, false),
    /** This share of the nodes is replaced by new ones, one after another. */
    DEPLOY(Scope.CLUSTER, true),
    /** Work at the origin takes this many times as long. */
    ORIGIN_SLOW(Scope.CLUSTER, true),
    /** This share of the origin's requests ends in an error. */
    ORIGIN_FAILS(Scope.CLUSTER, true),
    /** This share of the origin's responses is invalid. */
    ORIGIN_SPOILS(Scope.CLUSTER, true),
    /** This share of the origin's connections is reset under a request. */
    ORIGIN_RESETS(Scope.CLUSTER, true),
    /** Watch events come as much as this many milliseconds late. */
    LIST_LATE(Scope.CLUSTER, true),
    /** Discovery is down: watches end, calls fail. */
    LIST_DOWN(Scope.CLUSTER, false),
    /** This share of the discovery calls is rejected. */
    LIST_REFUSES(Scope.CLUSTER, true),
    /** All watches end once. */
    LIST_ENDS(Scope.CLUSTER, false),
    /** This share of the gossip datagrams is lost. */
    PEERS_LOSE(Scope.CLUSTER, true),
    /** Gossip datagrams come as much as this many milliseconds late. */
    PEERS_LATE(Scope.CLUSTER, true),
    /** Killed, and started again with the last endpoint list that it had. */
    KILLED(Scope.PROXY, false),
    /** Graceful shutdown (SIGTERM), then started again. */
    STOPPED(Scope.PROXY, false),
    /** Its event loop stalls. */
    STANDS_STILL(Scope.PROXY, false),
    /** SIGHUP to all proxies: discovery has moved to another address. */
    HANGUP(Scope.CLUSTER, false),
    /** This many times as many requests. */
    BURST(Scope.CLUSTER, true),
    /** This share of the requests is for one key. */
    HOT(Scope.CLUSTER, true),
    /** One tenant sends this many times as much. */
    GREED(Scope.CLUSTER, true),
    /** This share of the clients leaves before the response. */
    LEAVE(Scope.CLUSTER, true),
    /** This share of the proxies is killed at once, and started again with its last list. */
    RESTART(Scope.CLUSTER, true),
    /** All nodes of the zone of this number die at once and come back cold. */
    ZONE_LOST(Scope.CLUSTER, true),
    /** The machines of the zone of this number are cut off. */
    ZONE_SILENT(Scope.CLUSTER, true),
    /** This share of the open watches falls silent without an end. */
    LIST_SILENT(Scope.CLUSTER, true),
    /** This share of the nodes is listed as draining within a second, and continues to serve. */
    LIST_DRAINS(Scope.CLUSTER, true);

    /** This many kinds, the first ones, concern any cluster; the others are for large fleets. */
    @SuppressWarnings("EnumOrdinal") // The order of the constants is what is meant.
    public static final int GENERAL_KIND_COUNT = LEAVE.ordinal() + 1;

    private final Scope scope;
    private final boolean magnitudeRequired;

    Kind(Scope scope, boolean magnitudeRequired) {
      this.scope = scope;
      this.magnitudeRequired = magnitudeRequired;
    }

    /** What this kind concerns. */
    public Scope scope() {
      return scope;
    }

    /** Whether a fault of this kind says how strong it is. */
    public boolean requiresMagnitude() {
      return magnitudeRequired;
    }

    /** The word of the scenario text. */
    public String word() {
      return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** The word for the fault's target, such as {@code node}; null if it has none. */
    private String targetWord() {
      return scope == Scope.CLUSTER ? null : scope.name().toLowerCase(Locale.ROOT);
    }

    private static Kind ofWord(String word) {
      for (Kind kind : values()) {
        if (kind.word().equals(word)) {
          return kind;
        }
      }
      throw new IllegalArgumentException("'" + word + "' is no known fault");
    }
  }

  private static final Pattern LINE_PATTERN =
      Pattern.compile(
          "at (?<at>\\d{1,7})ms(?: for (?<for>\\d{1,7})ms)? (?<kind>[a-z-]+)"
              + "(?: (?<scope>node|proxy) (?<target>\\d{1,4}))?(?: by (?<by>[0-9.]{1,12}))?");

  /** Whether the fault is never mended. */
  public boolean isPermanent() {
    return activeMs == 0;
  }

  /** The line of the scenario text. */
  @Override
  public String toString() {
    String duration = isPermanent() ? "" : " for " + activeMs + "ms";
    String targetText = kind.targetWord() == null ? "" : " " + kind.targetWord() + " " + target;
    String magnitudeText = kind.magnitudeRequired ? " by " + magnitude : "";
    return "at " + atMs + "ms" + duration + " " + kind.word() + targetText + magnitudeText;
  }

  /**
   * Reads a line of the form that {@link #toString()} gives.
   *
   * @throws IllegalArgumentException if it has another form; the message says what is wrong
   */
  static Fault parse(String line) {
    Matcher matcher = LINE_PATTERN.matcher(line);
    if (!matcher.matches()) {
      throw new IllegalArgumentException("not of the form 'at 100ms for 2000ms slow node 3 by 4'");
    }
    Kind kind = Kind.ofWord(matcher.group("kind"));
    checkTarget(kind, matcher.group("scope"));
    checkMagnitude(kind, matcher.group("by"));
    String duration = matcher.group("for");
    return new Fault(
        Long.parseLong(matcher.group("at")),
        duration == null ? 0 : Long.parseLong(duration),
        kind,
        kind.targetWord() == null ? NO_TARGET : Integer.parseInt(matcher.group("target")),
        kind.magnitudeRequired ? Double.parseDouble(matcher.group("by")) : 0);
  }

  private static void checkTarget(Kind kind, String scopeWord) {
    String expected = kind.targetWord();
    if (expected == null && scopeWord != null) {
      throw new IllegalArgumentException("'" + kind.word() + "' concerns no single node or proxy");
    }
    if (expected != null && !expected.equals(scopeWord)) {
      throw new IllegalArgumentException("'" + kind.word() + "' needs '" + expected + " N'");
    }
  }

  private static void checkMagnitude(Kind kind, String magnitudeText) {
    if (kind.magnitudeRequired && magnitudeText == null) {
      throw new IllegalArgumentException("'" + kind.word() + "' needs 'by X'");
    }
    if (!kind.magnitudeRequired && magnitudeText != null) {
      throw new IllegalArgumentException("'" + kind.word() + "' has no measure");
    }
  }

  @Override
  public int compareTo(Fault other) {
    return Long.compare(atMs, other.atMs);
  }
}
