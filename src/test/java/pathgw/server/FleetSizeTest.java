package pathgw.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import pathgw.client.ClientConnection;
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

/** A thousand proxies before a thousand cache nodes, as one of them sees it. */
class FleetSizeTest {
  private static final int MANY = 1024;

  /** The longest that a name on a network may be. */
  private static String host(int i) {
    return "s" + i + "-".repeat(252 - Integer.toString(i).length());
  }

  /** Deep enough that a list is longer than 1 MiB, which once was the bound. */
  private static final String NEXT = ",\n" + " ".repeat(100);

  private static String hosts(String health) {
    return IntStream.range(0, MANY)
        .mapToObj(
            i ->
                String.join(
                    NEXT,
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

  @Test
  void aThousandPeersAndAThousandNodesAreTakenWhole() {
    String peers =
        IntStream.range(0, MANY)
            .mapToObj(i -> "\"10.9." + i / 250 + "." + i % 250 + ":7946\"")
            .collect(Collectors.joining(","));
    Config config =
        Config.read(
            TestConfig.json()
                .replaceFirst(
                    "\\{",
                    "{\"peer_listen\": \"10.9.0.0:7946\", "
                        + "\"peers_all\": \"10.9.255.1:7946\", \"peers\": ["
                        + peers
                        + "],\n\"known\": "
                        + list(1, "draining")
                        + ",")
                .replace("\"instances\": 1", "\"instances\": " + MANY)
                .getBytes(StandardCharsets.UTF_8));
    assertEquals(MANY, config.peers().size());
    assertEquals(MANY, config.settings().proxies());
    EventLoopTimers timers =
        new EventLoopTimers(transport::nanos, transport.unixMillis(), transport::after);
    DecisionDriver driver = new DecisionDriver(timers, new DecisionEngine(config.settings(), 1));
    UpstreamPools pools = new UpstreamPools(this::dial, this::dial, timers, config, 400);
    Discovery discovery =
        new Discovery(
            this::dial, timers, driver, pools, config, RestoredSnapshots.none(), what -> {});
    Gossip gossip = new Gossip(transport, driver, config);
    driver.setProxyActions(
        new TestProxyActions(pools, discovery) {
          @Override
          public void gossip(long node, boolean success) {
            gossip.broadcast(node, success);
          }
        });
    discovery.apply(config.known().get(), EndpointListSource.CONFIGURATION);
    assertEquals(MANY, pools.startTimes().size());

    String whole = list(2, "ready");
    assertTrue(whole.length() > 1 << 20, whole.length() + " bytes");
    // Bytes come as the network cuts them.
    String answer =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + Integer.toHexString(whole.length())
            + "\r\n"
            + whole
            + "\r\n";
    for (int at = 0; at < answer.length(); at += 16_384) {
      transport.dialled.get(0).gives(answer.substring(at, Math.min(answer.length(), at + 16_384)));
    }
    RequestHandler requestHandler =
        new RequestHandler(timers, driver, pools, config.answerSlack(), RequestObserver.NONE);
    RateLimitedLog limitedLog = new RateLimitedLog(System.getLogger("test"), timers);
    for (int i = 0; i < 200; i++) {
      FakeConnection asks = new FakeConnection();
      new ClientConnection(asks, config, timers, requestHandler, limitedLog, c -> {});
      asks.gives("mg k" + i + " v Oa" + i + " Pc=read,t=one,d=480\r\n");
    }
    long nodes =
        transport.dialled.stream().filter(s -> s.written.toString().startsWith("mg")).count();
    assertTrue(nodes > 150, nodes + " nodes of a thousand have 200 keys");

    long first = MetaCommand.hash(host(0));
    String[] suspected = new String[2];
    Buffer failed = Buffer.buffer().appendLong(first).appendByte((byte) 0);
    for (int i = 0; i < 8; i++) {
      transport.heard.accept(failed, new Address("10.8.0.1", 7946));
    }
    driver.submit(engine -> suspected[0] = "" + engine.snapshot(first).suspected());
    for (int i = 0; i < 8; i++) {
      transport.heard.accept(failed, new Address("10.9.4.23", 7946));
    }
    driver.submit(engine -> suspected[1] = "" + engine.snapshot(first).suspected());
    assertEquals(
        List.of("false", "true"), List.of(suspected), "the last of the peers, and no stranger");
  }
}
