package review2;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.concurrent.TimeUnit;

/** The project's proxy as a process of its own, started with the run line of the deploy file. */
final class Proxy {
  final int port = Deployment.freePort();
  final Process process;
  private final Path config;
  private final Path log;
  private final Record record;

  Proxy(Path folder, Deployment deployment, int discoveryPort, Record record) throws IOException {
    this.record = record;
    config = folder.resolve("config.json");
    log = folder.resolve("proxy.log");
    config.toFile().deleteOnExit();
    log.toFile().deleteOnExit();
    Files.writeString(config, deployment.json(port, discoveryPort));
    ProcessBuilder builder =
        new ProcessBuilder("/bin/sh", "-c", runLine()).redirectErrorStream(true).redirectOutput(log.toFile());
    builder.environment().put("NODE_CONFIG", config.toString());
    builder.environment().put("NODE_LISTEN", Deployment.HOST + ":" + port);
    builder.environment().put("NODE_DISCOVERY", Deployment.HOST + ":" + discoveryPort);
    builder.environment().put("NODE_NAME", "n1");
    builder.environment().put("TMPDIR", folder.toString());
    process = builder.start();
    Runtime.getRuntime().addShutdownHook(new Thread(this::end));
  }

  /** The command of the run line of the deploy file. */
  private static String runLine() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
      if (line.startsWith("run = \"")) {
        return line.substring(line.indexOf('"') + 1, line.indexOf('"', line.indexOf('"') + 1));
      }
    }
    throw new IOException("no run line in deploy/balancer.toml");
  }

  /** Waits until the proxy answers mn with MN; returns false if it does not within 30 s. */
  boolean awaitReady() throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (process.isAlive() && System.nanoTime() < deadline) {
      try (Socket socket = new Socket(Deployment.HOST, port)) {
        socket.setSoTimeout(10_000);
        socket.getOutputStream().write("mn\r\n".getBytes(StandardCharsets.US_ASCII));
        if ("MN".equals(new Wire(socket.getInputStream()).line())) {
          record.line("proxy is ready, pid %d", process.pid());
          return true;
        }
      } catch (IOException e) {
        // Not listening yet.
      }
      Thread.sleep(50);
    }
    return false;
  }

  void signal(String name) throws IOException, InterruptedException {
    record.line("signal %s", name);
    new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
  }

  void end() {
    process.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Copies the last lines of the proxy's log to the record, without the one that names the machine. */
  void recordLog(int lines) throws IOException {
    var all = new ArrayList<>(Files.readAllLines(log, StandardCharsets.ISO_8859_1));
    all.removeIf(line -> line.contains(" transport ") && line.contains("ServeCommand"));
    for (String line : all.subList(Math.max(0, all.size() - lines), all.size())) {
      record.line("proxy log: %s", line.length() > 300 ? line.substring(0, 300) : line);
    }
  }

  String log() throws IOException {
    return Files.readString(log, StandardCharsets.ISO_8859_1);
  }
}
