package pathgw.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.jar.JarFile;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import pathgw.config.TestConfig;
import pathgw.server.SocketFixture.FakeServer;
import pathgw.server.SocketFixture.Peer;

/** Tests the packaged program as a separate process, with real signals and descriptor limits. */
@Timeout(60)
class ProcessIT {
  @TempDir Path folder;

  private FakeServer node;
  private FakeServer discovery;
  private Process process;
  private int port;

  @BeforeEach
  void startFakes() throws IOException {
    node = new FakeServer(peer -> {});
    discovery = new FakeServer(this::sendEndpointList);
    port = freePort();
  }

  @AfterEach
  void end() throws Exception {
    if (process != null) {
      process.destroyForcibly().waitFor();
    }
    node.close();
    discovery.close();
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  private void sendEndpointList(Peer peer) {
    try {
      SocketFixture.sendEndpointList(peer, SocketFixture.listEntry("n1", node.port(), "std"));
    } catch (IOException e) {
      // The proxy has closed the connection of the call.
    }
  }

  private void configure(int discovery) throws IOException {
    Files.writeString(
        folder.resolve("config.json"),
        TestConfig.json()
            // Otherwise a slow attempt is cancelled and another node or the origin responds.
            .replace("\"cancel\": true", "\"cancel\": false")
            .replace("\"127.0.0.1:0\"", "\"127.0.0.1:" + port + "\"")
            .replace(
                "\"discovery\": \"127.0.0.1:1\"",
                "\"discovery\": \"127.0.0.1:" + discovery + "\""));
  }

  private void start(int discovery) throws IOException {
    configure(discovery);
    ProcessBuilder program =
        new ProcessBuilder(
                "/bin/sh",
                "-c",
                "ulimit -n 256; exec java -Xmx48m"
                    + " -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Djava.library.path=target/native"
                    + " -Djava.util.logging.manager=pathgw.observability.ShutdownSafeLogManager -jar target/pathgw.jar serve")
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve("log").toFile());
    program.environment().put("NODE_CONFIG", folder.resolve("config.json").toString());
    process = program.start();
  }

  private String log() throws IOException {
    return Files.readString(folder.resolve("log"));
  }

  private void awaitLog(String line) throws Exception {
    for (int i = 0; i < 3000 && !log().contains(line); i++) {
      assertTrue(process.isAlive(), log());
      Thread.sleep(5);
    }
    assertTrue(log().contains(line), log());
  }

  private void signal(String name) throws Exception {
    String pid = Long.toString(process.pid());
    assertEquals(0, new ProcessBuilder("kill", "-" + name, pid).start().waitFor());
  }

  /** Retries until the program listens, and connects to it. */
  private Peer client() throws Exception {
    for (int i = 0; i < 10_000; i++) {
      try {
        return new Peer(new Socket("127.0.0.1", port));
      } catch (IOException refused) {
        assertTrue(process.isAlive(), log());
        Thread.sleep(1);
      }
    }
    throw new AssertionError("the program does not listen");
  }

  /**
   * Sends reads until the node receives one, because the proxy rejects reads until it has the
   * endpoint list.
   *
   * @return the node's end of the connection
   */
  private Peer sendAndAwaitAtNode(Peer client, String id) throws Exception {
    for (int i = 0; i < 1000; i++) {
      client.send(SocketFixture.read(id + i));
      for (int waits = 0;
          waits < 1000 && client.socket.getInputStream().available() == 0;
          waits++) {
        Peer nodePeer = node.poll();
        if (nodePeer != null) {
          return nodePeer;
        }
        Thread.sleep(1);
      }
      client.readLine();
    }
    throw new AssertionError("never forwarded");
  }

  /** Sends a read, reconnecting whenever it is rejected, and returns the response. */
  private String readWithReconnects(String id) throws Exception {
    for (int i = 0; i < 100; i++) {
      try (Socket socket = client().socket) {
        Peer client = new Peer(socket);
        client.send(SocketFixture.read(id));
        Peer nodePeer = null;
        long until = System.nanoTime() + 3_000_000_000L;
        while (nodePeer == null
            && socket.getInputStream().available() == 0
            && System.nanoTime() < until) {
          Thread.sleep(1);
          nodePeer = node.poll();
        }
        if (nodePeer != null) {
          nodePeer.readLine();
          nodePeer.send(SocketFixture.value(id));
          return client.readLine() + client.readLine();
        }
      } catch (IOException rejected) {
        // Reconnects below.
      }
      Thread.sleep(50);
    }
    throw new AssertionError("never served " + log());
  }

  private void awaitTermination() throws Exception {
    assertTrue(process.waitFor(10, TimeUnit.SECONDS));
    assertEquals(128 + 15, process.exitValue(), log());
  }

  @Test
  void packagedProgramBringsAndNamesTheNativeTransportOfEachProcessor() throws Exception {
    for (String processor : List.of("x86_64", "aarch_64")) {
      String library = "libnetty_transport_native_epoll_" + processor + ".so";
      assertTrue(Files.exists(Path.of("target/native", library)), library);
      try (JarFile jar = new JarFile("target/pathgw.jar")) {
        assertNotNull(jar.getEntry("META-INF/native/" + library), library);
      }
    }
    start(discovery.port());
    awaitLog("serves on");
    String line = "transport epoll on Linux " + System.getProperty("os.arch");
    assertTrue(log().contains(line) || !System.getProperty("os.name").equals("Linux"), log());
  }

  /** The process is suspended, so that the command and the signal are pending at the same time. */
  @Test
  void terminatedDuringWarmUpItAnswersReceivedCommands() throws Exception {
    start(discovery.port());
    Peer client = client();
    signal("STOP");
    assertFalse(log().contains("serves on"), "it must be suspended before it serves");
    client.send(SocketFixture.read("a1"));
    signal("TERM");
    signal("CONT");
    assertTrue(client.readLine().endsWith("\n"), "the command was dropped");
    client.socket.close();
    awaitTermination();
  }

  @Test
  void secondTerminationSignalLosesNoRequestInFlight() throws Exception {
    start(discovery.port());
    awaitLog("serves on");
    Peer client = client();
    Peer nodePeer = sendAndAwaitAtNode(client, "a");
    String id = nodePeer.readLine().replaceAll("(?s).* O(\\w+) .*\\s", "$1");
    signal("TERM");
    awaitLog("shutting down:");
    signal("TERM");
    signal("HUP");
    nodePeer.send(SocketFixture.value(id));
    assertEquals(SocketFixture.value(id), client.readLine() + client.readLine());
    assertEquals("", client.readLine(), "an end, not a reset");
    client.socket.close();
    awaitTermination();
  }

  @Test
  void nodeThatHangsDuringShutdownStillYieldsResponse() throws Exception {
    start(discovery.port());
    awaitLog("serves on");
    Peer client = client();
    sendAndAwaitAtNode(client, "a");
    signal("TERM");
    assertTrue(client.readLine().startsWith("SERVER_ERROR "));
    client.socket.close();
    awaitTermination();
  }

  @Test
  void invalidConfigurationIsNotReloadedAndValidOneIs() throws Exception {
    start(discovery.port());
    awaitLog("serves on");
    Files.writeString(folder.resolve("config.json"), "{");
    signal("HUP");
    awaitLog("configuration not reloaded, the previous one stays in effect");
    try (FakeServer other = new FakeServer(this::sendEndpointList)) {
      configure(other.port());
      signal("HUP");
      assertTrue(other.next().socket.isConnected());
    }
    Peer client = client();
    client.send("mn\r\n");
    assertEquals("MN\r\n", client.readLine());
  }

  /** Clients that send nothing occupy all descriptors available to clients. */
  @Test
  void idleClientsHoldingAllDescriptorsDoNotBlockOthersDuringDiscoveryOutage() throws Exception {
    int discoveryPort = freePort();
    start(discoveryPort);
    awaitLog("serves on");
    List<Socket> idle = new ArrayList<>();
    for (int i = 0; i < 400; i++) {
      Socket socket = new Socket();
      socket.connect(new InetSocketAddress("127.0.0.1", port), 5000);
      idle.add(socket);
    }
    try (ServerSocket back =
        new ServerSocket(discoveryPort, 50, InetAddress.getByName("127.0.0.1"))) {
      back.setSoTimeout(10_000);
      Peer call = new Peer(back.accept());
      sendEndpointList(call);
      assertEquals(SocketFixture.value("b"), readWithReconnects("b"));
    }
    assertTrue(process.isAlive());
    for (Socket socket : idle) {
      socket.close();
    }
  }
}
