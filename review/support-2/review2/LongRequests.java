package review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/** Clients that send several commands at once write long values. */
final class LongRequests {
  private static final int CLIENTS = 200;
  private static final int COMMANDS = 3;
  private static final int LONG_BYTES = 65536;
  private static final int SHORT_BYTES = 64;
  private static final int TIMEOUT_MS = 2000;
  private static final int ANSWERS_WITHIN_MS = TIMEOUT_MS + 2000;

  /** A command that was written longer than this before the end of its connection did not cross it. */
  private static final double CROSSING_MS = 50;

  /** One client and what it has sent. */
  private static final class Sender {
    final Client client;
    final List<String> ids = new ArrayList<>();
    final StringBuilder text = new StringBuilder();

    /** When its commands were written whole; infinite if they were not. */
    volatile double writtenAtMs = Double.POSITIVE_INFINITY;

    Sender(Client client) {
      this.client = client;
    }
  }

  private LongRequests() {}

  public static void main(String[] args) throws Exception {
    Case.run(args, LongRequests::play);
  }

  private static int play(Path folder, Record record, boolean trouble) throws Exception {
    Discovery discovery = new Discovery("A", 40, record);
    new Cluster(record, discovery);
    Proxy proxy = Case.serve(folder, Deployment.fesMeknesSched(), discovery, record);
    if (proxy == null) {
      return Case.NOT_RUN;
    }
    List<Sender> senders = new ArrayList<>();
    for (int c = 0; c < CLIENTS; c++) {
      Sender sender = new Sender(new Client(proxy.port, record));
      for (int i = 0; i < COMMANDS; i++) {
        int number = c * COMMANDS + i;
        sender.ids.add(Command.id(number));
        sender.text.append(Command.write(number, "send-roster", TIMEOUT_MS, trouble ? LONG_BYTES : SHORT_BYTES));
      }
      senders.add(sender);
    }
    sendAll(senders, record);
    Thread.sleep(ANSWERS_WITHIN_MS);
    proxy.recordLog(30);
    return check(senders, record);
  }

  private static void sendAll(List<Sender> senders, Record record) throws InterruptedException {
    CountDownLatch start = new CountDownLatch(1);
    List<Thread> threads = new ArrayList<>();
    for (Sender sender : senders) {
      threads.add(
          Threads.start(
              () -> {
                try {
                  start.await();
                  sender.client.send(sender.text.toString(), sender.ids);
                  sender.writtenAtMs = record.now();
                } catch (IOException | InterruptedException e) {
                  record.line("client: not written whole: %s", e);
                }
              }));
    }
    start.countDown();
    for (Thread thread : threads) {
      thread.join(10_000);
    }
  }

  private static int check(List<Sender> senders, Record record) {
    int served = 0;
    int refused = 0;
    int failed = 0;
    int crossing = 0;
    int lost = 0;
    for (Sender sender : senders) {
      for (String id : sender.ids) {
        String answer = sender.client.answers.getOrDefault(id, "");
        double endedAtMs = sender.client.end == null ? Double.POSITIVE_INFINITY : sender.client.endedAtMs;
        if (answer.startsWith("HD O" + id)) {
          served++;
        } else if (answer.startsWith("SERVER_ERROR busy")) {
          refused++;
        } else if (!answer.isEmpty()) {
          failed++;
        } else if (sender.writtenAtMs + CROSSING_MS > endedAtMs) {
          crossing++;
        } else {
          lost++;
          record.line("BROKEN: no answer to %s, written whole at %.1f, connection ended at %.1f", id, sender.writtenAtMs, endedAtMs);
        }
      }
    }
    record.say("commands %d: served %d, refused %d, failed %d, not written whole %d ms before the end of the connection %d, lost %d", senders.size() * COMMANDS, served, refused, failed, (int) CROSSING_MS, crossing, lost);
    if (served == 0) {
      return Case.NOT_RUN;
    }
    return lost == 0 ? Case.HELD : Case.BROKEN;
  }
}
