package pathgw.server;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import pathgw.config.Config;
import pathgw.config.TestConfig;
import pathgw.transport.FakeConnection;

/** A proxy that has been told to end. */
class ShutdownTest {
  private final ManualTransport outside = new ManualTransport();
  private final ProxyServer proxy =
      new ProxyServer(outside, Config.read(TestConfig.json().getBytes(StandardCharsets.UTF_8)), 0);

  @Test
  void toldBeforeItsStartItEndsAtOnce() {
    assertTrue(proxy.stop().isComplete());
  }

  /** The signal may come before there is anything to move. */
  @Test
  void aConfigurationReadAgainBeforeTheStartCounts() {
    proxy.readAgain(
        Config.read(
            TestConfig.json()
                .replace("\"discovery\": \"127.0.0.1:1\"", "\"discovery\": \"127.0.0.1:77\"")
                .getBytes(StandardCharsets.UTF_8)));
    proxy.start();
    outside.pass(10);
    assertTrue(outside.dialled.get(0).written.toString().contains("Host: 127.0.0.1:77\r\n"));
  }

  @Test
  void readAgainDuringTheStopItEndsAsItWould() {
    proxy.start();
    outside.pass(10);
    Future<Void> stopped = proxy.stop();
    proxy.readAgain(
        Config.read(
            TestConfig.json()
                .replace("\"discovery\": \"127.0.0.1:1\"", "\"discovery\": \"127.0.0.1:77\"")
                .getBytes(StandardCharsets.UTF_8)));
    outside.pass(530);
    assertTrue(stopped.isComplete());
  }

  /**
   * 14 of 10,000 seeds had not stopped in 4.5 s: newcomers were sent away, and each connection
   * awaited.
   */
  @Test
  void whoGoesOnComingDoesNotKeepItFromEnding() {
    proxy.start();
    outside.pass(10);
    Future<Void> stopped = proxy.stop();
    for (int ms = 0; ms < 1100; ms += 100) {
      outside.arrives.accept(new FakeConnection());
      outside.pass(100);
    }
    assertTrue(stopped.isComplete());
  }

  @Test
  void withNothingOutItEndsOnceTheLastComersAreOver() {
    proxy.start();
    outside.pass(10);
    Future<Void> stopped = proxy.stop();
    outside.pass(490);
    assertFalse(stopped.isComplete());
    outside.pass(30);
    assertTrue(stopped.isComplete());
  }
}
