package pathgw.fake.discovery;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import pathgw.fake.BackendObserver;
import pathgw.fake.Clock;
import pathgw.fake.ConnectionHandler;
import pathgw.fake.ConnectionSide;
import pathgw.fake.RecordCutter;

/**
 * One HTTP connection of a proxy to the discovery service. It becomes a watch when the proxy
 * requests one.
 */
final class DiscoveryConnection implements ConnectionHandler {
  private static final Duration KEEP_ALIVE_INTERVAL = Duration.ofSeconds(2);
  private static final long NO_VERSION = -1;
  private static final String WATCH_PARAMETER = "follow=1";
  private static final String SINCE_PARAMETER = "since=";

  private final FakeDiscovery discovery;
  private final Clock clock;
  private final Random random;
  private final BackendObserver observer;
  private final EndpointHistory history;
  private final String proxyName;
  private final ConnectionSide side;
  private final RecordCutter cutter = new RecordCutter(this::line);

  /** The path of the request whose header is being read; null between requests. */
  private String path;

  /** The version of the list that the proxy has after the events sent on this watch. */
  private long sentVersion = NO_VERSION;

  private boolean watching;
  private boolean silent;

  /**
   * Starts to serve a connection.
   *
   * @param proxyName the proxy at the other end
   * @param side the service's side of the connection
   */
  DiscoveryConnection(FakeDiscovery discovery, String proxyName, ConnectionSide side) {
    this.discovery = discovery;
    clock = discovery.clock;
    random = discovery.random;
    observer = discovery.observer;
    history = discovery.history;
    this.proxyName = proxyName;
    this.side = side;
  }

  String proxyName() {
    return proxyName;
  }

  /** Returns whether this connection is a watch that hasn't been silenced. */
  boolean isActiveWatch() {
    return watching && !silent;
  }

  boolean watching() {
    return watching;
  }

  /** Stops sending on this watch, keep-alives included, but leaves it open. */
  void silence() {
    silent = true;
  }

  void close() {
    side.close();
    ended();
  }

  @Override
  public void received(Buffer bytes) {
    cutter.add(bytes);
  }

  private void line(byte[] bytes, int start, int end) {
    String line = RecordCutter.text(bytes, start, end);
    if (line.startsWith("GET ")) {
      path = line.split(" ")[1];
    } else if (line.isEmpty() && path != null) {
      String requestedPath = path;
      path = null;
      enqueue(requestedPath);
    }
  }

  private void enqueue(String requestedPath) {
    Duration wait = discovery.callQueue.enqueue();
    if (wait == null) {
      reject();
    } else {
      Duration delay = discovery.drawDelay().plusMillis(1).plus(wait);
      clock.schedule(delay, () -> answer(requestedPath));
    }
  }

  private void answer(String requestedPath) {
    if (!discovery.isOpen(this)) {
      return;
    }
    if (discovery.drawRefusal()) {
      refuse();
      return;
    }
    discovery.callAnswered(proxyName);
    if (requestedPath.contains(WATCH_PARAMETER)) {
      startWatch(requestedPath);
    } else {
      sendList();
    }
  }

  private void refuse() {
    if (random.nextBoolean()) {
      side.reset();
      ended();
    } else {
      reject();
    }
  }

  private void reject() {
    side.write(Buffer.buffer("HTTP/1.1 503 Later\r\nContent-Length: 0\r\n\r\n"));
  }

  private void sendList() {
    String list = history.completeJson();
    String head = "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n";
    side.write(Buffer.buffer(head + list));
    reportCompleteList();
  }

  private void startWatch(String requestedPath) {
    int since = requestedPath.indexOf(SINCE_PARAMETER);
    sentVersion =
        since < 0
            ? NO_VERSION
            : Long.parseLong(requestedPath.substring(since + SINCE_PARAMETER.length()));
    side.write(Buffer.buffer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
    watching = true;
    // Without missed changes an empty event still confirms that the proxy's list is up to date.
    if (sentVersion == history.version()) {
      sendChunk(EndpointHistory.changesJson(sentVersion, List.of()) + "\n");
    } else {
      sendChanges(history.version());
    }
    scheduleKeepAlive();
  }

  private void scheduleKeepAlive() {
    clock.schedule(
        KEEP_ALIVE_INTERVAL,
        () -> {
          if (discovery.isOpen(this) && !silent) {
            sendChunk("\n");
            scheduleKeepAlive();
          }
        });
  }

  /**
   * Sends the changes that a watch lacks up to a version, or the complete list if not all of them
   * are kept.
   */
  void sendChanges(long upTo) {
    if (!discovery.isOpen(this) || silent || sentVersion >= upTo) {
      return;
    }
    if (history.hasChangesSince(sentVersion)) {
      List<EndpointEntry> missedChanges = history.changes(sentVersion, upTo);
      sendChunk(EndpointHistory.changesJson(upTo, missedChanges) + "\n");
      missedChanges.forEach(
          entry -> observer.endpointNotified(proxyName, entry.host(), entry.health(), upTo));
      sentVersion = upTo;
    } else {
      sendChunk(history.completeJson() + "\n");
      reportCompleteList();
      sentVersion = history.version();
    }
  }

  private void reportCompleteList() {
    long version = history.version();
    history
        .entries()
        .forEach(e -> observer.endpointNotified(proxyName, e.host(), e.health(), version));
    observer.endpointNotified(proxyName, "", "", version);
  }

  private void sendChunk(String text) {
    side.write(Buffer.buffer(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
  }

  @Override
  public void ended() {
    discovery.ended(this);
  }
}
