package pathgw.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import pathgw.config.TestConfig;
import pathgw.server.SocketFixture.Door;
import pathgw.server.SocketFixture.Peer;

/** The packaged program in a process of its own, with real signals and real limits. */
@Timeout(60)
class ProcessIT {
  @TempDir Path folder;

  private Door node;
  private Door list;
  private Process process;
  private int port;

  @BeforeEach
  void surroundings() throws IOException {
    node = new Door(peer -> {});
    list = new Door(this::tell);
    port = free();
  }

  @AfterEach
  void end() throws Exception {
    if (process != null) {
      process.destroyForcibly().waitFor();
    }
    node.close();
    list.close();
  }

  private static int free() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  private void tell(Peer peer) {
    try {
      peer.line();
      String line =
          "{\"seq\":1,\"whole\":true,\"hosts\":["
              + SocketFixture.entry("n1", node.port(), "std")
              + "]}\n";
      peer.sends(
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              + Integer.toHexString(line.length())
              + "\r\n"
              + line
              + "\r\n");
    } catch (IOException e) {
      // It was called off.
    }
  }

  private void configure(int discovery) throws IOException {
    Files.writeString(
        folder.resolve("config.json"),
        TestConfig.json()
            // Else an attempt that is out for long is taken back, and the answer comes from
            // elsewhere.
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

  private void awaits(String line) throws Exception {
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

  /** As soon as the program listens. */
  private Peer client() throws Exception {
    for (int i = 0; i < 10_000; i++) {
      try {
        return new Peer(new Socket("127.0.0.1", port));
      } catch (IOException refused) {
        assertTrue(process.isAlive(), log());
        Thread.sleep(1);
      }
    }
    throw new AssertionError("nobody listens");
  }

  /** A read that the node has, once the program knows the list. */
  private Peer carries(Peer client, String id) throws Exception {
    for (int i = 0; i < 1000; i++) {
      client.sends(SocketFixture.read(id + i));
      for (int waits = 0;
          waits < 1000 && client.socket.getInputStream().available() == 0;
          waits++) {
        Peer at = node.nextNow();
        if (at != null) {
          return at;
        }
        Thread.sleep(1);
      }
      client.line();
    }
    throw new AssertionError("never sent on");
  }

  /** What a usual client gets in the end, which comes again where it is turned away. */
  private String served(String id) throws Exception {
    for (int i = 0; i < 100; i++) {
      try (Socket socket = client().socket) {
        Peer client = new Peer(socket);
        client.sends(SocketFixture.read(id));
        Peer at = null;
        long until = System.nanoTime() + 3_000_000_000L;
        while (at == null
            && socket.getInputStream().available() == 0
            && System.nanoTime() < until) {
          Thread.sleep(1);
          at = node.nextNow();
        }
        if (at != null) {
          at.line();
          at.sends(SocketFixture.value(id));
          return client.line() + client.line();
        }
      } catch (IOException turnedAway) {
        // And comes again.
      }
      Thread.sleep(50);
    }
    throw new AssertionError("never served " + log());
  }

  private void ended() throws Exception {
    assertTrue(process.waitFor(10, TimeUnit.SECONDS));
    assertEquals(128 + 15, process.exitValue(), log());
  }

  /** The process stands still: command and signal lie at the machine together. */
  @Test
  void toldToEndWhileItWarmsUpItAnswersWhoHasAsked() throws Exception {
    start(list.port());
    Peer client = client();
    signal("STOP");
    assertFalse(log().contains("serves on"), "it was to be caught before it serves");
    client.sends(SocketFixture.read("a1"));
    signal("TERM");
    signal("CONT");
    assertTrue(client.line().endsWith("\n"), "neither dropped nor left");
    client.socket.close();
    ended();
  }

  @Test
  void toldToEndTwiceItStillAnswersWhatIsOut() throws Exception {
    start(list.port());
    awaits("serves on");
    Peer client = client();
    Peer at = carries(client, "a");
    String id = at.line().replaceAll("(?s).* O(\\w+) .*\\s", "$1");
    signal("TERM");
    awaits("stops:");
    signal("TERM");
    signal("HUP");
    at.sends(SocketFixture.value(id));
    assertEquals(SocketFixture.value(id), client.line() + client.line());
    assertEquals("", client.line(), "an end, not a reset");
    client.socket.close();
    ended();
  }

  @Test
  void aNodeThatHangsAtTheStopCostsNoAnswer() throws Exception {
    start(list.port());
    awaits("serves on");
    Peer client = client();
    carries(client, "a");
    signal("TERM");
    assertTrue(client.line().startsWith("SERVER_ERROR "));
    client.socket.close();
    ended();
  }

  @Test
  void theConfigurationIsReadAgainOrTheOldOneStays() throws Exception {
    start(list.port());
    awaits("serves on");
    Files.writeString(folder.resolve("config.json"), "{");
    signal("HUP");
    awaits("configuration not read again, the old one stays");
    try (Door other = new Door(this::tell)) {
      configure(other.port());
      signal("HUP");
      assertTrue(other.next().socket.isConnected());
    }
    Peer client = client();
    client.sends("mn\r\n");
    assertEquals("MN\r\n", client.line());
  }

  /** Descriptors are short, and clients that ask for nothing want them all. */
  @Test
  void idleClientsThatFillTheDescriptorsWhileDiscoveryIsDownKeepNobodyOut() throws Exception {
    int down = free();
    start(down);
    awaits("serves on");
    List<Socket> idle = new ArrayList<>();
    for (int i = 0; i < 400; i++) {
      Socket socket = new Socket();
      socket.connect(new InetSocketAddress("127.0.0.1", port), 5000);
      idle.add(socket);
    }
    try (ServerSocket back = new ServerSocket(down, 50, InetAddress.getByName("127.0.0.1"))) {
      back.setSoTimeout(10_000);
      Peer call = new Peer(back.accept());
      tell(call);
      assertEquals(SocketFixture.value("b"), served("b"));
    }
    assertTrue(process.isAlive());
    for (Socket socket : idle) {
      socket.close();
    }
  }
}
