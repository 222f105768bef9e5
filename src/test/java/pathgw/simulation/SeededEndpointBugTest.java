package pathgw.simulation;

import static pathgw.simulation.SeededBugs.assertDetected;
import static pathgw.simulation.SeededBugs.openedConnections;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import pathgw.simulation.cluster.Mutation;
import pathgw.simulation.scenario.Fault;
import pathgw.simulation.scenario.Scenario;
import pathgw.simulation.scenario.ScenarioGenerator;

/**
 * Checks that the simulation detects seeded bugs in how a proxy follows the endpoint list: each
 * makes it send requests to a node that is leaving.
 */
class SeededEndpointBugTest {
  private static final int RULE = 3;
  private static final String KIND = "drain";

  @Test
  void lateDrainNotificationIsDetected() {
    assertDetected(
        RULE,
        KIND,
        openedConnections(
            MutatedTransport::isDiscovery,
            (transport, connection) ->
                new ForwardingConnection(connection) {
                  @Override
                  public void onData(Consumer<Buffer> handler) {
                    delegate.onData(
                        bytes ->
                            transport.runAfter(
                                Duration.ofMillis(1200), () -> handler.accept(bytes)));
                  }
                }));
  }

  /**
   * Passes an empty line to the proxy every two seconds, so that it does not detect a silent watch.
   */
  private static Mutation hidesSilentWatches() {
    return openedConnections(
        MutatedTransport::isDiscovery,
        (transport, connection) ->
            new ForwardingConnection(connection) {
              @Override
              public void onData(Consumer<Buffer> handler) {
                delegate.onData(handler);
                repeatPeriodically(() -> handler.accept(Buffer.buffer("1\r\n\n\r\n")));
              }

              private void repeatPeriodically(Runnable sendEmptyLine) {
                transport.runAfter(
                    Duration.ofSeconds(2),
                    () -> {
                      sendEmptyLine.run();
                      repeatPeriodically(sendEmptyLine);
                    });
              }
            });
  }

  @Test
  void silentWatchMistakenForOpenOneIsDetected() {
    assertDetected(
        RULE,
        KIND,
        hidesSilentWatches(),
        0,
        seed -> {
          Scenario drawn = ScenarioGenerator.scenario(seed);
          List<Fault> faults = new ArrayList<>(drawn.faults());
          faults.add(new Fault(2000, 0, Fault.Kind.LIST_SILENT, Fault.NO_TARGET, 1));
          faults.add(new Fault(4000, 0, Fault.Kind.DRAINS, (int) seed, 0));
          return drawn.withFaults(faults);
        });
  }

  /** Replaces the rejection of a call by a list without changes. */
  private static Mutation treatsRejectionAsEmptyList() {
    String emptyList = "{\"seq\":0,\"whole\":false,\"hosts\":[]}\n";
    Buffer emptyResponse =
        Buffer.buffer(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                + Integer.toHexString(emptyList.length())
                + "\r\n"
                + emptyList
                + "\r\n");
    return openedConnections(
        MutatedTransport::isDiscovery,
        (transport, connection) ->
            new ForwardingConnection(connection) {
              @Override
              public void onData(Consumer<Buffer> handler) {
                delegate.onData(
                    bytes -> {
                      boolean rejected = bytes.toString().startsWith("HTTP/1.1 503");
                      handler.accept(rejected ? emptyResponse.copy() : bytes);
                    });
              }
            });
  }

  /**
   * All watches are silent, and discovery cannot answer the polls of all proxies before they count
   * as notified.
   */
  @Test
  void rejectedPollMistakenForNotificationIsDetected() {
    assertDetected(
        RULE,
        KIND,
        treatsRejectionAsEmptyList(),
        1,
        seed ->
            Scenario.parse(
                "seed "
                    + seed
                    + "\nproxies 20\nnodes 8\nrate 100/s\ncalls 2/s\nlasts 16000ms\n"
                    + "at 9000ms list-silent by 1\nat 9600ms list-drains by 0.25"));
  }

  /** Most calls fail, but the proxy renews its endpoint list lease as if they had succeeded. */
  @Test
  void failedPollMistakenForEndpointListIsDetected() {
    assertDetected(
        RULE,
        KIND,
        treatsRejectionAsEmptyList(),
        1,
        seed ->
            Scenario.parse(
                "seed "
                    + seed
                    + "\nproxies 3\nnodes 8\nrate 60/s\nlasts 16000ms\n"
                    + "at 3000ms for 9000ms list-refuses by 1\n"
                    + "at 3100ms list-ends\nat 3300ms list-drains by 0.25"));
  }

  @Test
  void attemptAtRemovedNodeIsDetected() {
    assertDetected(
        RULE,
        KIND,
        openedConnections(
            MutatedTransport::isDiscovery,
            (transport, connection) ->
                new ForwardingConnection(connection) {
                  @Override
                  public void onData(Consumer<Buffer> handler) {
                    delegate.onData(
                        bytes -> {
                          if (!bytes.toString().contains("\"gone\"")) {
                            handler.accept(bytes);
                          }
                        });
                  }
                }));
  }
}
