package pathgw.simulation;

import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One trouble of a run.
 *
 * @param forMs how long it lasts; 0 for good
 * @param target the number of a node or proxy, counted round if there are fewer; -1 where it has
 *     none
 * @param by how strong it is, in the measure of its kind
 */
record Fault(long atMs, long forMs, Kind kind, int target, double by) implements Comparable<Fault> {
  /** Whom a trouble befalls. */
  enum On {
    NODE,
    PROXY,
    WORLD
  }

  /** Every trouble that a run may have, with the word that scripts have for it. */
  enum Kind {
    /** The process ends; started anew, it is cold. */
    DIES(On.NODE, false),
    /** As before, but it comes back at another address. */
    MOVES(On.NODE, false),
    /** Answers nothing, takes everything, goes on later. */
    FREEZES(On.NODE, false),
    /** The machine is cut off: silence, then resets. */
    VANISHES(On.NODE, false),
    /** Work takes so many times as long. */
    SLOW(On.NODE, true),
    /** The list says so, then it turns away what is new, then it goes. */
    DRAINS(On.NODE, false),
    /** All its copies are lost. */
    FLUSHED(On.NODE, false),
    /** Connections to it come up up to so many milliseconds late. */
    CONNECTS_LATE(On.NODE, true),
    /** So great a share of writes to it is cut before the last byte. */
    CUTS(On.NODE, true),
    /** Connections are reset once the command is there. */
    RESETS(On.NODE, true),
    /** Connections are closed under a command that does not run. */
    CLOSES(On.NODE, true),
    /** Answers that are none. */
    SPOILS(On.NODE, true),
    /** Answers with more behind them. */
    BABBLES(On.NODE, true),
    /** Errors after the request ran. */
    FAILS(On.NODE, true),
    /** Requests turned away. */
    BUSY(On.NODE, true),
    /** A new cold node. */
    GROWS(On.WORLD, false),
    /** So great a share of the nodes replaced one after another by new ones. */
    DEPLOY(On.WORLD, true),
    ORIGIN_SLOW(On.WORLD, true),
    ORIGIN_FAILS(On.WORLD, true),
    ORIGIN_SPOILS(On.WORLD, true),
    ORIGIN_RESETS(On.WORLD, true),
    /** Changes are told up to so many milliseconds late. */
    LIST_LATE(On.WORLD, true),
    /** Watches end, calls fail. */
    LIST_DOWN(On.WORLD, false),
    /** So great a share of the calls is refused. */
    LIST_REFUSES(On.WORLD, true),
    /** All watches end once. */
    LIST_ENDS(On.WORLD, false),
    PEERS_LOSE(On.WORLD, true),
    PEERS_LATE(On.WORLD, true),
    /** Killed, and started again with its last list. */
    KILLED(On.PROXY, false),
    /** SIGTERM, then started again. */
    STOPPED(On.PROXY, false),
    /** Its event loop stands still. */
    STANDS_STILL(On.PROXY, false),
    /** SIGHUP to all proxies: the list is elsewhere. */
    HANGUP(On.WORLD, false),
    /** So many times as many requests. */
    BURST(On.WORLD, true),
    /** So great a share for one key. */
    HOT(On.WORLD, true),
    /** One tenant asks so many times as much. */
    GREED(On.WORLD, true),
    /** So great a share of the clients leaves before the answer. */
    LEAVE(On.WORLD, true),
    /** So great a share of the proxies killed at once, and started again with their last list. */
    RESTART(On.WORLD, true),
    /** All nodes of the zone of this number die at once and come back cold. */
    ZONE_LOST(On.WORLD, true),
    /** The machines of the zone of this number are cut off. */
    ZONE_SILENT(On.WORLD, true),
    /** So great a share of the open watches falls silent without an end. */
    LIST_SILENT(On.WORLD, true),
    /**
     * So great a share of the nodes is listed as draining within a second, and they go on serving.
     */
    LIST_DRAINS(On.WORLD, true);

    /** So many come first that befall any fleet; the rest are drawn for large ones alone. */
    @SuppressWarnings("EnumOrdinal") // The order of the constants is what is meant.
    static final int ANY_FLEET = LEAVE.ordinal() + 1;

    final On on;
    final boolean measured;

    Kind(On on, boolean measured) {
      this.on = on;
      this.measured = measured;
    }

    String word() {
      return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
  }

  private static final Pattern FORM =
      Pattern.compile(
          "at (\\d{1,7})ms(?: for (\\d{1,7})ms)? ([a-z-]+)(?: (node|proxy) (\\d{1,4}))?"
              + "(?: by ([0-9.]{1,12}))?");

  @Override
  public String toString() {
    String whom =
        kind.on == On.WORLD ? "" : " " + kind.on.name().toLowerCase(Locale.ROOT) + " " + target;
    return "at "
        + atMs
        + "ms"
        + (forMs > 0 ? " for " + forMs + "ms" : "")
        + " "
        + kind.word()
        + whom
        + (kind.measured ? " by " + by : "");
  }

  /** Reads what {@link #toString()} gives; the complaint says what is wrong with it. */
  static Fault read(String text) {
    Matcher m = FORM.matcher(text);
    if (!m.matches()) {
      throw new IllegalArgumentException("not of the form 'at 100ms for 2000ms slow node 3 by 4'");
    }
    for (Kind kind : Kind.values()) {
      if (kind.word().equals(m.group(3))) {
        String whom = kind.on == On.WORLD ? null : kind.on.name().toLowerCase(Locale.ROOT);
        if (whom == null ? m.group(4) != null : !whom.equals(m.group(4))) {
          throw new IllegalArgumentException(
              "'"
                  + kind.word()
                  + "' "
                  + (whom == null ? "befalls no single node or proxy" : "needs '" + whom + " N'"));
        }
        if (kind.measured == (m.group(6) == null)) {
          throw new IllegalArgumentException(
              "'" + kind.word() + "' " + (kind.measured ? "needs 'by X'" : "has no measure"));
        }
        return new Fault(
            Long.parseLong(m.group(1)),
            m.group(2) == null ? 0 : Long.parseLong(m.group(2)),
            kind,
            whom == null ? -1 : Integer.parseInt(m.group(5)),
            kind.measured ? Double.parseDouble(m.group(6)) : 0);
      }
    }
    throw new IllegalArgumentException("'" + m.group(3) + "' is no known trouble");
  }

  @Override
  public int compareTo(Fault other) {
    return Long.compare(atMs, other.atMs);
  }
}
