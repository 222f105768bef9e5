package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** What every case needs: a record, four cache nodes, an origin and the list that names them. */
final class Fleet implements AutoCloseable {
  /** Half a second after its time a request without an answer is lost. */
  static final int LOST_AFTER_MS = 500;

  /** The slack of the settings (20 ms) and that of sockets (50 ms). */
  static final int SLACK_MS = 70;

  /** A run that has not ended by then could not run. */
  private static final long MAX_RUN_MS = 110_000;

  private static final long LIST_VERSION = 41;
  private static final int CACHE_NODES = 4;
  private static final int CACHE_WORK_MS = 20;
  private static final int ORIGIN_WORK_MS = 30;

  final Path root;
  final Path folder;
  final Record record;
  final List<Host> hosts = new ArrayList<>();
  final Origin origin;
  final List<CacheNode> cacheNodes = new ArrayList<>();
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

  /**
   * @param args the root of the checkout and the folder of the case
   * @param cachesEmpty whether the cache nodes lack every key
   * @param listener is notified of every command that a cache node or the origin begins
   */
  Fleet(String[] args, boolean cachesEmpty, CacheNode.Listener listener) throws IOException {
    root = Path.of(args[0]);
    folder = Files.createTempDirectory("review");
    record = new Record(Path.of(args[1]).resolve("record.txt"));
    for (int i = 1; i <= CACHE_NODES; i++) {
      CacheNode node = new CacheNode("s-" + i, CACHE_WORK_MS, cachesEmpty, listener);
      cacheNodes.add(node);
      hosts.add(new Host(node.name, node.port, "std-5core", "ready", 0));
    }
    origin = new Origin(ORIGIN_WORK_MS, listener);
    hosts.add(new Host("origin", origin.port, "origin", "ready", 0));
  }

  /** Starts a proxy before the given hosts and waits until it is ready; ends the run where that fails. */
  Proxy start(Proxy proxy, List<Host> listed) throws Exception {
    Runtime.getRuntime().addShutdownHook(new Thread(proxy::endQuietly));
    Threads.start(
        () -> {
          Threads.sleep(MAX_RUN_MS);
          record.tell("could not run: not ended after " + MAX_RUN_MS / 1000 + " s");
          System.exit(2);
        });
    try {
      proxy.configure(new Discovery(record, LIST_VERSION, listed).port);
      proxy.start();
      proxy.awaitReady();
      record.tell("the proxy is ready");
    } catch (IOException e) {
      record.tell("could not run: " + e);
      finish(proxy, 2);
    }
    return proxy;
  }

  /** Writes the proxy's log behind the record, deletes the temporary folder and ends the run. */
  void finish(Proxy proxy, int status) throws Exception {
    proxy.end();
    if (Files.exists(proxy.log())) {
      Files.readAllLines(proxy.log()).forEach(line -> record.line("log of the proxy: " + line));
    }
    record.tell(status == 1 ? "the rule was broken" : status == 0 ? "the rule held" : "not run");
    close();
    System.exit(status);
  }

  @Override
  public void close() throws IOException {
    record.close();
    try (var files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }
}
