package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Four cache nodes that hold all keys, and the origin, as discovery lists them. */
final class Cluster {
  private static final int NODES = 4;

  final List<CacheNode> nodes = new ArrayList<>();
  final Origin origin;

  Cluster(Record record, Discovery discovery) throws IOException {
    for (int i = 1; i <= NODES; i++) {
      CacheNode node = new CacheNode("s-" + i, record);
      nodes.add(node);
      discovery.put(node.name, node.port, "std", "ready", 0);
    }
    origin = new Origin(record);
    discovery.put("s-origin", origin.port, "origin", "ready", 0);
  }
}
