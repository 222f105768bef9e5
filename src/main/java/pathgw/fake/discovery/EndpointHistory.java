package pathgw.fake.discovery;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** The endpoint list with its version, and a bounded number of its latest changes. */
final class EndpointHistory {
  /** A watch that has missed more changes than this receives the complete list. */
  private static final int MAX_KEPT_CHANGES = 16;

  /** A change of one entry, and the version of the list after it. */
  private record Change(long version, EndpointEntry entry) {}

  private final Map<String, EndpointEntry> entries = new LinkedHashMap<>();
  private final List<Change> changes = new ArrayList<>();
  private long version = 1;

  /** Adds or replaces an entry; removes the entry of its host if its health is {@code gone}. */
  void apply(EndpointEntry entry) {
    version++;
    if (entry.health().equals(EndpointEntry.GONE)) {
      entries.remove(entry.host());
    } else {
      entries.put(entry.host(), entry);
    }
    changes.add(new Change(version, entry));
    if (changes.size() > MAX_KEPT_CHANGES) {
      changes.remove(0);
    }
  }

  long version() {
    return version;
  }

  Collection<EndpointEntry> entries() {
    return entries.values();
  }

  /** Returns the health of a host; {@code gone} if the list doesn't contain the host. */
  String health(String host) {
    EndpointEntry entry = entries.get(host);
    return entry == null ? EndpointEntry.GONE : entry.health();
  }

  /** Returns whether there are changes since a version and all of them are kept. */
  boolean hasChangesSince(long since) {
    return since >= 0
        && since < version
        && !changes.isEmpty()
        && changes.get(0).version() <= since + 1;
  }

  /** Returns the kept changes after one version up to and including another, oldest first. */
  List<EndpointEntry> changes(long after, long upTo) {
    return changes.stream()
        .filter(change -> change.version() > after && change.version() <= upTo)
        .map(Change::entry)
        .toList();
  }

  /** Returns the complete list as JSON. */
  String completeJson() {
    return json(version, true, entries.values());
  }

  /** Returns changes as JSON, with the version of the list that they lead to. */
  static String changesJson(long version, List<EndpointEntry> changes) {
    return json(version, false, changes);
  }

  private static String json(long version, boolean complete, Collection<EndpointEntry> entries) {
    return entries.stream()
        .map(EndpointEntry::json)
        .collect(
            Collectors.joining(
                ",", "{\"seq\":" + version + ",\"whole\":" + complete + ",\"hosts\":[", "]}"));
  }
}
