package pathgw.simulation.scenario;

import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One fault of a run.
 *
 * @param atMs when the fault begins, in milliseconds since the run began
 * @param activeMs how long the fault lasts, in milliseconds; 0 if it is permanent
 * @param kind what fails
 * @param target the number of a node or proxy, taken modulo their count; {@link #NO_TARGET} if the
 *     kind has none
 * @param magnitude the strength of the fault: a share, a factor, milliseconds or a zone number,
 *     depending on the kind; 0 if the kind has none
 */
public record Fault(long atMs, long activeMs, Kind kind, int target, double magnitude)
    implements Comparable<Fault> {
  /** The target of faults that do not affect a single node or proxy. */
  public static final int NO_TARGET = -1;

  /** The part of the cluster that a kind of fault affects. */
  public enum Scope {
    /** A single cache node. */
    NODE,
    /** A single proxy. */
    PROXY,
    /** Everything else: discovery, the origin, gossip, the clients, or many processes at once. */
    CLUSTER
  }

  /**
   * The kinds of faults. Their names, in lower case and with hyphens, are the words of scenario
   * files.
   */
  public enum Kind {
    /** The node's process ends; if it starts again, its cache is cold. */
    DIES(Scope.NODE, false),
    /** Like {@link #DIES}, but the node restarts at another address. */
    MOVES(Scope.NODE, false),
    /** The node stalls: it accepts connections and bytes, but answers only after the stall. */
    FREEZES(Scope.NODE, false),
    /** The node's machine is cut off from the network; on return its connections are reset. */
    VANISHES(Scope.NODE, false),
    /** Each request takes this many times as long at the node. */
    SLOW(Scope.NODE, true),
    /** The node is listed as draining, then rejects new requests, then ends. */
    DRAINS(Scope.NODE, false),
    /** The node loses all cached values. */
    FLUSHED(Scope.NODE, false),
    /** Connections to the node are established up to this many milliseconds late. */
    CONNECTS_LATE(Scope.NODE, true),
    /**
     * The connection is reset during this share of the writes to the node, before the last byte.
     */
    CUTS(Scope.NODE, true),
    /** The node resets the connection after the command arrived, for this share of requests. */
    RESETS(Scope.NODE, true),
    /** The node closes the connection without running the command, for this share of requests. */
    CLOSES(Scope.NODE, true),
    /** This share of the node's responses is invalid. */
    SPOILS(Scope.NODE, true),
    /** Unexpected bytes follow this share of the node's responses. */
    BABBLES(Scope.NODE, true),
    /** The node runs the request but responds with an error, for this share of requests. */
    FAILS(Scope.NODE, true),
    /** The node rejects this share of requests. */
    BUSY(Scope.NODE, true),
    /** A new node with a cold cache is added. */
    GROWS(Scope.CLUSTER, false),
    /** This share of the nodes is replaced by new ones, one after another. */
    DEPLOY(Scope.CLUSTER, true),
    /** Each request takes this many times as long at the origin. */
    ORIGIN_SLOW(Scope.CLUSTER, true),
    /** The origin responds to this share of requests with an error. */
    ORIGIN_FAILS(Scope.CLUSTER, true),
    /** This share of the origin's responses is invalid. */
    ORIGIN_SPOILS(Scope.CLUSTER, true),
    /** The origin resets the connection during this share of requests. */
    ORIGIN_RESETS(Scope.CLUSTER, true),
    /** Responses and watch events of discovery are delayed by up to this many milliseconds. */
    LIST_LATE(Scope.CLUSTER, true),
    /** Discovery is down: watches end and calls fail. */
    LIST_DOWN(Scope.CLUSTER, false),
    /** Discovery rejects or resets this share of calls. */
    LIST_REFUSES(Scope.CLUSTER, true),
    /** All connections to discovery are closed once, which ends all watches. */
    LIST_ENDS(Scope.CLUSTER, false),
    /** This share of the gossip datagrams is lost. */
    PEERS_LOSE(Scope.CLUSTER, true),
    /** Gossip datagrams are delayed by up to this many milliseconds. */
    PEERS_LATE(Scope.CLUSTER, true),
    /** The proxy is killed and restarted with the last endpoint list that it had received. */
    KILLED(Scope.PROXY, false),
    /** The proxy shuts down gracefully, as after SIGTERM, and is then restarted. */
    STOPPED(Scope.PROXY, false),
    /** The proxy's event loop stalls. */
    STANDS_STILL(Scope.PROXY, false),
    /** Discovery moves to another address, and all proxies get a SIGHUP. */
    HANGUP(Scope.CLUSTER, false),
    /** Clients send this many times as many requests. */
    BURST(Scope.CLUSTER, true),
    /** This share of the requests is for a single key. */
    HOT(Scope.CLUSTER, true),
    /** One tenant sends this many times as many requests as any other tenant. */
    GREED(Scope.CLUSTER, true),
    /** This share of the clients disconnects before the response. */
    LEAVE(Scope.CLUSTER, true),
    /** This share of the proxies is killed at once and restarted with their last endpoint lists. */
    RESTART(Scope.CLUSTER, true),
    /** All nodes in the zone with this number crash at once and restart with cold caches. */
    ZONE_LOST(Scope.CLUSTER, true),
    /** All machines in the zone with this number are cut off from the network. */
    ZONE_SILENT(Scope.CLUSTER, true),
    /** This share of the open watches stays open but no longer sends events. */
    LIST_SILENT(Scope.CLUSTER, true),
    /** This share of the nodes is listed as draining within one second but continues to serve. */
    LIST_DRAINS(Scope.CLUSTER, true);

    /**
     * The number of kinds, from the first on, that are drawn for clusters of any size. The
     * remaining kinds are for large fleets only.
     */
    @SuppressWarnings("EnumOrdinal") // The position of LEAVE is what is needed.
    public static final int GENERAL_KIND_COUNT = LEAVE.ordinal() + 1;

    private final Scope scope;
    private final boolean magnitudeRequired;

    Kind(Scope scope, boolean magnitudeRequired) {
      this.scope = scope;
      this.magnitudeRequired = magnitudeRequired;
    }

    /** Returns the part of the cluster that this kind affects. */
    public Scope scope() {
      return scope;
    }

    /** Whether faults of this kind have a magnitude. */
    public boolean requiresMagnitude() {
      return magnitudeRequired;
    }

    /** Returns the word for this kind in scenario files. */
    public String word() {
      return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Returns the word for the fault's target, such as {@code node}; null if there is no target.
     */
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

  /** Whether the fault never ends. */
  public boolean isPermanent() {
    return activeMs == 0;
  }

  /** Returns the fault's line in a scenario file. */
  @Override
  public String toString() {
    String duration = isPermanent() ? "" : " for " + activeMs + "ms";
    String targetText = kind.targetWord() == null ? "" : " " + kind.targetWord() + " " + target;
    String magnitudeText = kind.magnitudeRequired ? " by " + magnitude : "";
    return "at " + atMs + "ms" + duration + " " + kind.word() + targetText + magnitudeText;
  }

  /**
   * Parses a line in the form that {@link #toString()} returns.
   *
   * @throws IllegalArgumentException if the line has another form; the message states the error
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
