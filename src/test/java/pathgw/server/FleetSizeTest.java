package pathgw.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import pathgw.algorithm.MemoryBudget;
import pathgw.client.ClientConnection;
import pathgw.client.ClientResources;
import pathgw.codec.MetaCommand;
import pathgw.config.Address;
import pathgw.config.Config;
import pathgw.config.TestConfig;
import pathgw.decision.DecisionEngine;
import pathgw.discovery.Discovery;
import pathgw.discovery.EndpointListSource;
import pathgw.driver.DecisionDriver;
import pathgw.fixture.TestProxyActions;
import pathgw.gossip.Gossip;
import pathgw.observability.RateLimitedLog;
import pathgw.observability.RequestObserver;
import pathgw.request.RequestHandler;
import pathgw.snapshot.RestoredSnapshots;
import pathgw.transport.Connection;
import pathgw.transport.EventLoopTimers;
import pathgw.transport.FakeConnection;
import pathgw.upstream.UpstreamPools;

/** Tests one proxy of a fleet of about a thousand proxies and a thousand cache nodes. */
class FleetSizeTest {
  private static final int FLEET_SIZE = 1024;
  private static final int SEGMENT_BYTES = 16_384;

  /** A host name of the maximum length in DNS. */
  private static String host(int i) {
    return "s" + i + "-".repeat(252 - Integer.toString(i).length());
  }

  /** Long enough that the endpoint list exceeds 1 MiB, a former limit of its size. */
  private static final String FIELD_SEPARATOR = ",\n" + " ".repeat(100);

  private static String hosts(String health) {
    return IntStream.range(0, FLEET_SIZE)
        .mapToObj(
            i ->
                String.join(
                    FIELD_SEPARATOR,
                    "{\"host\": \"" + host(i) + "\"",
                    "\"dial\": \"10.1." + i / 250 + "." + i % 250 + ":11211\"",
                    "\"site\": \"here\"",
                    "\"class\": \"std\"",
                    "\"block\": 3",
                    "\"health\": \"" + health + "\"",
                    "\"share\": 1.0",
                    "\"born_ms\": 0}"))
        .collect(Collectors.joining(",\n"));
  }

  private static String list(int seq, String health) {
    return "{\n  \"seq\": "
        + seq
        + ",\n  \"whole\": true,\n  \"hosts\": [\n"
        + hosts(health)
        + "\n  ]\n}\n";
  }

  private final ManualTransport transport = new ManualTransport();

  private Future<Connection> dial(Address to) {
    return transport.dial(to, Duration.ZERO);
  }

  private static Config configWithManyPeersAndNodes() {
    String peers =
        IntStream.range(0, FLEET_SIZE)
            .mapToObj(i -> "\"10.9." + i / 250 + "." + i % 250 + ":7946\"")
            .collect(Collectors.joining(","));
    return Config.read(
        TestConfig.json()
            .replaceFirst(
                "\\{",
                "{\"peer_listen\": \"10.9.0.0:7946\", "
                    + "\"peers_all\": \"10.9.255.1:7946\", \"peers\": ["
                    + peers
                    + "],\n\"known\": "
                    + list(1, "draining")
                    + ",")
            .replace("\"instances\": 1", "\"instances\": " + FLEET_SIZE)
            .getBytes(StandardCharsets.UTF_8));
  }

  /** Answers the call for the endpoint list in several segments, as a network delivers it. */
  private void sendEndpointList(String list) {
    String response =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + Integer.toHexString(list.length())
            + "\r\n"
            + list
            + "\r\n";
    for (int at = 0; at < response.length(); at += SEGMENT_BYTES) {
      int end = Math.min(response.length(), at + SEGMENT_BYTES);
      transport.dialled.get(0).deliver(response.substring(at, end));
    }
  }

  private void sendReads(
      int count, Config config, EventLoopTimers timers, RequestHandler requestHandler) {
    RateLimitedLog limitedLog = new RateLimitedLog(System.getLogger("test"), timers);
    ClientResources resources =
        new ClientResources(
            config,
            timers,
            requestHandler,
            limitedLog,
            new MemoryBudget(Long.MAX_VALUE, timers::now),
            () -> Integer.MAX_VALUE);
    for (int i = 0; i < count; i++) {
      FakeConnection client = new FakeConnection();
      new ClientConnection(client, resources, closed -> {});
      client.deliver("mg k" + i + " v Oa" + i + " Pc=read,t=one,d=480\r\n");
    }
  }

  /** Sends a failure report eight times, and returns whether the node is suspected afterwards. */
  private boolean suspectedAfterReports(DecisionDriver driver, long node, String peer) {
    Buffer report = Buffer.buffer().appendLong(node).appendByte((byte) 0);
    for (int i = 0; i < 8; i++) {
      transport.onDatagram.accept(report, new Address(peer, 7946));
    }
    boolean[] suspected = new boolean[1];
    driver.submit(engine -> suspected[0] = engine.snapshot(node).suspected());
    return suspected[0];
  }

  @Test
  void proxyHandlesThousandPeersAndThousandNodes() {
    Config config = configWithManyPeersAndNodes();
    assertEquals(FLEET_SIZE, config.peers().size());
    assertEquals(FLEET_SIZE, config.settings().proxies());
    EventLoopTimers timers =
        new EventLoopTimers(transport::monotonicNanos, transport.unixMillis(), transport::runAfter);
    DecisionDriver driver = new DecisionDriver(timers, new DecisionEngine(config.settings(), 1));
    UpstreamPools pools = new UpstreamPools(this::dial, this::dial, timers, config, 400);
    Discovery discovery =
        new Discovery(
            this::dial, timers, driver, pools, config, RestoredSnapshots.none(), event -> {});
    Gossip gossip = new Gossip(transport, driver, config);
    driver.setProxyActions(
        new TestProxyActions(pools, discovery) {
          @Override
          public void gossip(long node, boolean success) {
            gossip.broadcast(node, success);
          }
        });
    discovery.apply(config.initialEndpointList().get(), EndpointListSource.CONFIGURATION);
    assertEquals(FLEET_SIZE, pools.startTimes().size());

    String list = list(2, "ready");
    assertTrue(list.length() > 1 << 20, list.length() + " bytes");
    sendEndpointList(list);
    RequestHandler requestHandler =
        new RequestHandler(timers, driver, pools, config, RequestObserver.NONE);
    sendReads(200, config, timers, requestHandler);
    long nodes =
        transport.dialled.stream().filter(s -> s.written.toString().startsWith("mg")).count();
    assertTrue(nodes > 150, nodes + " nodes of a thousand have 200 keys");

    long first = MetaCommand.hash(host(0));
    assertFalse(
        suspectedAfterReports(driver, first, "10.8.0.1"), "reports of a stranger must not count");
    assertTrue(
        suspectedAfterReports(driver, first, "10.9.4.23"), "reports of the last peer must count");
  }
}
