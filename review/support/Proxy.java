package review;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One proxy, started by the run line of the deploy file. */
final class Proxy {
  final int port;
  private final Path folder;
  private final Path root;
  private final int memoryMb;
  private final int sockets;
  private String settings;
  private Process process;

  Proxy(Path root, Path folder, int memoryMb, int sockets) throws IOException {
    this.root = root;
    this.folder = folder;
    this.memoryMb = memoryMb;
    this.sockets = sockets;
    port = freePort();
    settings = Files.readString(root.resolve("review/support/settings.json"));
  }

  /** Replaces a part of the settings, which has to be there; before {@link #configure}. */
  void replaceSetting(String part, String by) {
    if (!settings.contains(part)) {
      throw new IllegalArgumentException(part);
    }
    settings = settings.replace(part, by);
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  Path log() {
    return folder.resolve("proxy.log");
  }

  /** Writes the configuration. */
  void configure(int discoveryPort) throws IOException {
    String config =
        "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:" + discoveryPort
            + "\",\"seed\":\"8c1f30d27a5be964\",\n\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb
            + ",\"sockets\":" + sockets + "},\n\"settings\":" + settings + "}\n";
    Files.writeString(folder.resolve("config.json"), config);
  }

  void start() throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*?)\"").matcher(Files.readString(root.resolve("deploy/balancer.toml")));
    if (!run.find()) {
      throw new IOException("no run line");
    }
    File temporary = Files.createDirectories(folder.resolve("tmp")).toFile();
    ProcessBuilder builder =
        new ProcessBuilder("/bin/sh", "-c", run.group(1)).directory(root.toFile());
    builder.environment().put("NODE_CONFIG", folder.resolve("config.json").toString());
    builder.environment().put("NODE_NAME", "n1");
    builder.environment().put("TMPDIR", temporary.toString());
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
    process = builder.start();
  }

  /** Waits until the proxy answers {@code mn}. */
  void awaitReady() throws IOException {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (System.nanoTime() < until && process.isAlive()) {
      try (Socket socket = new Socket("127.0.0.1", port)) {
        socket.setSoTimeout(10_000);
        socket.getOutputStream().write("mn\r\n".getBytes());
        if ("MN".equals(Lines.read(socket.getInputStream()))) {
          return;
        }
      } catch (IOException e) {
        // Not yet.
      }
      Threads.sleep(50);
    }
    throw new IOException("the proxy is not ready");
  }

  boolean isAlive() {
    return process.isAlive();
  }

  int exitStatus() {
    return process.exitValue();
  }

  /** For a run that is cut short: no process may stay behind. */
  void endQuietly() {
    if (process != null) {
      process.destroyForcibly();
    }
  }

  void end() throws InterruptedException {
    if (process != null) {
      process.destroyForcibly().waitFor();
    }
  }
}
