package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A planned restart while the commands that a client has sent at once are being answered. */
final class ShutdownPipeline {
  private static final int COMMANDS = 100;
  private static final int VALUE_BYTES = 1024;
  private static final int ORIGIN_MS = 100;
  private static final int TIMEOUT_MS = 1200;

  /** When the commands are sent, counted from SIGTERM. */
  private static final int SENT_AFTER_MS = 300;

  /** A command that was written longer than this before the end of its connection did not cross it. */
  private static final double CROSSING_MS = 100;

  private static final int ANSWERS_WITHIN_S = 20;

  private ShutdownPipeline() {}

  public static void main(String[] args) throws Exception {
    Case.run(args, ShutdownPipeline::play);
  }

  private static int play(Path folder, Record record, boolean trouble) throws Exception {
    Discovery discovery = new Discovery("A", 40, record);
    Cluster cluster = new Cluster(record, discovery);
    cluster.origin.serviceMs = ORIGIN_MS;
    Proxy proxy = Case.serve(folder, Deployment.fesMeknesSched(), discovery, record);
    if (proxy == null) {
      return Case.NOT_RUN;
    }
    // The connection is in use before the shutdown.
    Client client = new Client(proxy.port, record);
    client.send(Command.write(0, "book-slot", TIMEOUT_MS, VALUE_BYTES), List.of(Command.id(0)));
    Thread.sleep(500);
    if (client.answers.isEmpty()) {
      return Case.NOT_RUN;
    }
    if (trouble) {
      proxy.signal("TERM");
      Thread.sleep(SENT_AFTER_MS);
    }
    StringBuilder commands = new StringBuilder();
    List<String> ids = new ArrayList<>();
    for (int i = 1; i <= COMMANDS; i++) {
      ids.add(Command.id(i));
      commands.append(Command.write(i, "book-slot", TIMEOUT_MS, VALUE_BYTES));
    }
    client.send(commands.toString(), ids);
    double writtenAtMs = record.now();
    record.say("commands sent at once: %d, %d bytes, written whole at %.1f", COMMANDS, commands.length(), writtenAtMs);
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(ANSWERS_WITHIN_S);
    while (client.unanswered() > 0 && client.end == null && System.nanoTime() < deadline) {
      Thread.sleep(10);
    }
    proxy.recordLog(10);
    return check(client, ids, writtenAtMs, record);
  }

  private static int check(Client client, List<String> ids, double writtenAtMs, Record record) {
    long served = ids.stream().filter(id -> client.answers.getOrDefault(id, "").startsWith("HD O" + id)).count();
    long refused = ids.stream().filter(id -> client.answers.getOrDefault(id, "").startsWith("SERVER_ERROR busy")).count();
    long lost = ids.stream().filter(id -> !client.answers.containsKey(id)).count();
    record.say("served %d, refused %d, without an answer %d of %d", served, refused, lost, ids.size());
    if (lost == 0) {
      return Case.HELD;
    }
    double before = client.end == null ? Double.POSITIVE_INFINITY : client.endedAtMs - writtenAtMs;
    record.say("they were written whole %.0f ms before the end of their connection (%s)", before, client.end);
    return before > CROSSING_MS ? Case.BROKEN : Case.HELD;
  }
}
