package review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** The origin grows slow while clients write long values. */
final class SlowOrigin {
  private static final int CLIENTS = 25;

  /** How many commands each client sends at once. */
  private static final int COMMANDS = 16;

  /** The time from one client's commands to the next one's: 400 requests a second in all. */
  private static final int SPACING_MS = 40;

  private static final int VALUE_BYTES = 65536;
  private static final int MEMORY_MB = 96;
  private static final int ORIGIN_MS = 200;
  private static final double SLOWER = 7.5;
  private static final int SLOW_FOR_MS = 8000;
  private static final int TIMEOUT_MS = 2000;

  /** Later than this after its time an answer does not count. */
  private static final int LATE_MS = 500;

  /**
   * A command that was written longer than this before the end of its connection did not cross it;
   * one that did would be sent once more.
   */
  private static final double CROSSING_MS = 100;

  /** Requests that are sent after the origin has become fast again. */
  private static final int LATER_READS = 10;

  /** A command on a connection, which was written whole at a time. */
  private record Sent(String id, Client client, double writtenAtMs) {}

  private SlowOrigin() {}

  public static void main(String[] args) throws Exception {
    Case.run(args, SlowOrigin::play);
  }

  private static int play(Path folder, Record record, boolean trouble) throws Exception {
    Discovery discovery = new Discovery("A", 40, record);
    Origin origin = new Cluster(record, discovery).origin;
    origin.serviceMs = ORIGIN_MS;
    Deployment deployment = Deployment.fesMeknesSched();
    deployment.memoryMb = MEMORY_MB;
    Proxy proxy = Case.serve(folder, deployment, discovery, record);
    if (proxy == null) {
      return Case.NOT_RUN;
    }
    if (trouble) {
      origin.serviceMs = (int) (SLOWER * ORIGIN_MS);
      record.line("the origin is %.1f times slower", SLOWER);
    }
    double startMs = record.now();
    List<Sent> writes = sendWrites(proxy.port, record);
    Thread.sleep(Math.max(0, (long) (startMs + SLOW_FOR_MS - record.now())));
    origin.serviceMs = ORIGIN_MS;
    record.line("the origin is as fast as before");
    int lost = countLost(writes, record);
    int unanswered = readLater(proxy, record);
    proxy.recordLog(20);
    record.say("later reads without an answer: %d of %d; OutOfMemoryError in the proxy's log: %s", unanswered, LATER_READS, proxy.log().contains("OutOfMemoryError"));
    return lost + unanswered == 0 ? Case.HELD : Case.BROKEN;
  }

  private static List<Sent> sendWrites(int port, Record record) throws Exception {
    List<Sent> writes = new CopyOnWriteArrayList<>();
    List<Thread> senders = new ArrayList<>();
    for (int c = 0; c < CLIENTS; c++) {
      int first = c * COMMANDS;
      senders.add(Threads.start(() -> sendAtOnce(port, first, writes, record)));
      Thread.sleep(SPACING_MS);
    }
    for (Thread sender : senders) {
      sender.join(SLOW_FOR_MS);
    }
    return writes;
  }

  private static void sendAtOnce(int port, int first, List<Sent> writes, Record record) {
    StringBuilder text = new StringBuilder();
    List<String> ids = new ArrayList<>();
    for (int i = first; i < first + COMMANDS; i++) {
      ids.add(Command.id(i));
      text.append(Command.write(i, "send-roster", TIMEOUT_MS, VALUE_BYTES));
    }
    try {
      Client client = new Client(port, record);
      client.send(text.toString(), ids);
      double writtenAtMs = record.now();
      ids.forEach(id -> writes.add(new Sent(id, client, writtenAtMs)));
    } catch (IOException e) {
      record.line("client: commands from %s on not written whole: %s", ids.get(0), e);
    }
  }

  private static int countLost(List<Sent> writes, Record record) {
    int served = 0;
    int refused = 0;
    int failed = 0;
    int crossing = 0;
    int lost = 0;
    for (Sent write : writes) {
      String answer = write.client.answers.getOrDefault(write.id, "");
      if (answer.startsWith("HD O" + write.id)) {
        served++;
      } else if (answer.startsWith("SERVER_ERROR busy")) {
        refused++;
      } else if (!answer.isEmpty()) {
        failed++;
      } else if (write.client.end != null && write.writtenAtMs + CROSSING_MS > write.client.endedAtMs) {
        crossing++;
      } else {
        lost++;
        record.line("BROKEN: no answer to %s, written whole at %.1f; its connection: %s at %.1f", write.id, write.writtenAtMs, write.client.end, write.client.endedAtMs);
      }
    }
    record.say("writes %d: served %d, refused %d, failed %d, crossed by the end of the connection %d, without an answer %d", writes.size(), served, refused, failed, crossing, lost);
    return lost;
  }

  /** Sends a few small reads, and returns how many get no answer within their time and the slack. */
  private static int readLater(Proxy proxy, Record record) throws Exception {
    int unanswered = 0;
    for (int i = 0; i < LATER_READS; i++) {
      int number = CLIENTS * COMMANDS + i;
      try {
        Client client = new Client(proxy.port, record);
        client.send(Command.read(number, "view-calendar", 750), List.of(Command.id(number)));
        Thread.sleep(i < LATER_READS - 1 ? 100 : 750 + LATE_MS);
        unanswered += client.answers.isEmpty() ? 1 : 0;
      } catch (IOException e) {
        unanswered++;
        record.line("client: %s not sent: %s", Command.id(number), e);
      }
    }
    return unanswered;
  }
}
