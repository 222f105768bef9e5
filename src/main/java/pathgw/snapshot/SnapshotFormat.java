package pathgw.snapshot;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import pathgw.config.InvalidInputException;
import pathgw.config.Json;
import pathgw.decision.DecisionEngine;
import pathgw.decision.NodeSnapshot;

/**
 * The text of a snapshot file: one JSON object with a version, the time of writing and a list of
 * nodes. The keys are those of the first release, so that a proxy can read the file of the release
 * that it replaces, and the other way round.
 */
final class SnapshotFormat {
  private static final Logger LOG = System.getLogger(SnapshotFormat.class.getName());

  private static final int VERSION = 1;

  /** Nodes beyond this number are skipped and learnt anew. */
  private static final int MAX_NODES = 4096;

  /** A node may have recovered, or failed, since an older file was written. */
  private static final Duration MAX_AGE = Duration.ofSeconds(60);

  private static final String VERSION_KEY = "version";
  private static final String WRITTEN_KEY = "written_ms";
  private static final String NODES_KEY = "nodes";
  private static final String ID_KEY = "id";
  private static final String STARTED_KEY = "born_ms";
  private static final String SUCCESSES_KEY = "wins";
  private static final String FAILURES_KEY = "losses";
  private static final String LOG_LIKELIHOOD_RATIO_KEY = "doubt";
  private static final String SUSPECTED_KEY = "doubtful";

  private SnapshotFormat() {}

  /** The text of a file, and how many nodes it holds. */
  record Encoded(String text, int nodes) {}

  static Encoded encode(DecisionEngine engine, Map<Long, Long> startTimes, long unixMillis) {
    List<String> lines = new ArrayList<>();
    startTimes.forEach(
        (node, startedMillis) -> {
          NodeSnapshot snapshot = engine.snapshot(node);
          if (snapshot != null && lines.size() < MAX_NODES) {
            lines.add(encodeNode(node, startedMillis, snapshot));
          }
        });
    String text =
        "{"
            + field(VERSION_KEY, VERSION)
            + ", "
            + field(WRITTEN_KEY, unixMillis)
            + ", "
            + field(NODES_KEY, "[\n" + String.join(",\n", lines) + "]")
            + "}\n";
    return new Encoded(text, lines.size());
  }

  private static String encodeNode(long node, long startedMillis, NodeSnapshot snapshot) {
    return "{"
        + String.join(
            ", ",
            field(ID_KEY, "\"" + Long.toUnsignedString(node) + "\""),
            field(STARTED_KEY, startedMillis),
            field(SUCCESSES_KEY, snapshot.wins()),
            field(FAILURES_KEY, snapshot.losses()),
            field(LOG_LIKELIHOOD_RATIO_KEY, snapshot.doubt()),
            field(SUSPECTED_KEY, snapshot.suspected()))
        + "}";
  }

  private static String field(String key, Object value) {
    return "\"" + key + "\": " + value;
  }

  /**
   * Reads the text of a file.
   *
   * @throws InvalidInputException if the file is stale, of another version or not of this format
   */
  static RestoredSnapshots decode(Json root, long unixMillis) {
    checkVersion(root.number(VERSION_KEY));
    checkAge(unixMillis - root.number(WRITTEN_KEY));
    Map<Long, RestoredSnapshots.Entry> entries = new TreeMap<>();
    List<Boolean> accepted = root.each(NODES_KEY, path -> decodeNode(root, path, entries));
    long rejected = accepted.stream().filter(each -> !each).count();
    LOG.log(
        Level.INFO,
        () -> "snapshot: read: " + entries.size() + " nodes used, " + rejected + " skipped");
    return new RestoredSnapshots(entries);
  }

  private static void checkVersion(double version) {
    if (version != VERSION) {
      throw new InvalidInputException("of version " + version + ", not " + VERSION);
    }
  }

  private static void checkAge(double ageMillis) {
    // Negated, so that an age that is not a number is refused as well.
    if (!(ageMillis >= 0 && ageMillis <= MAX_AGE.toMillis())) {
      throw new InvalidInputException("written " + (long) ageMillis + " ms ago");
    }
  }

  /** Reads one node into the entries, unless its values cannot have come from a proxy. */
  private static boolean decodeNode(
      Json root, String path, Map<Long, RestoredSnapshots.Entry> entries) {
    NodeSnapshot snapshot =
        new NodeSnapshot(
            root.number(path + "." + SUCCESSES_KEY),
            root.number(path + "." + FAILURES_KEY),
            root.number(path + "." + LOG_LIKELIHOOD_RATIO_KEY),
            root.flag(path + "." + SUSPECTED_KEY));
    if (!snapshot.sound() || entries.size() >= MAX_NODES) {
      return false;
    }
    long node = parseId(root.word(path + "." + ID_KEY));
    long startedMillis = (long) root.number(path + "." + STARTED_KEY);
    entries.put(node, new RestoredSnapshots.Entry(startedMillis, snapshot));
    return true;
  }

  private static long parseId(String text) {
    try {
      return Long.parseUnsignedLong(text);
    } catch (NumberFormatException e) {
      throw new InvalidInputException("'" + text + "' is not a node id");
    }
  }
}
