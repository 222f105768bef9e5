package review;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Reads that must never run twice, while some answers come a second time, some milliseconds late. */
final class LateCopy {
  private static final int CLIENTS = 30;

  /** A full queue, as on a busy day. */
  private static final int BUSY_ONE_IN = 10;
  private static final int COPY_ONE_IN = 3;
  private static final int WAIT_MS = 1500;
  private static final long RUN_MS = 20_000;

  /** Between two server rooms: 1.4 to 2.6 ms one way. */
  private static final double ONE_WAY_MS = 2;

  private static final AtomicInteger ID = new AtomicInteger();

  private LateCopy() {}

  public static void main(String[] args) throws Exception {
    Map<String, List<String>> runs = new ConcurrentHashMap<>();
    Map<String, String> answers = new ConcurrentHashMap<>();
    AtomicInteger copies = new AtomicInteger();
    AtomicInteger served = new AtomicInteger();
    AtomicInteger otherwise = new AtomicInteger();
    AtomicInteger lost = new AtomicInteger();
    Record[] log = new Record[1];
    Fleet fleet =
        new Fleet(
            args,
            false,
            (what, id) -> {
              log[0].line(id + " " + what);
              if (what.endsWith("a second time")) {
                copies.incrementAndGet();
              } else if (!what.contains(" ")) {
                runs.computeIfAbsent(id, none -> Collections.synchronizedList(new ArrayList<>())).add(what);
              }
            });
    Record record = fleet.record;
    log[0] = record;
    List<Host> hosts = new ArrayList<>();
    for (Host host : fleet.hosts) {
      hosts.add(host.withPort(new Relay(host.port(), ONE_WAY_MS).port));
    }
    Proxy proxy = new Proxy(fleet.root, fleet.folder, 128, 1024);
    proxy.replaceSetting(
        "\"itinerary-read\", \"effect\": \"free\"", "\"itinerary-read\", \"effect\": \"single_shot\"");
    fleet.start(proxy, hosts);
    fleet.cacheNodes.forEach(node -> node.turnAwayOneIn(BUSY_ONE_IN, fleet.trouble ? COPY_ONE_IN : 0));
    long startNanos = System.nanoTime();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(
          Threads.start(
              () -> {
                Client client = new Client(proxy.port);
                while (System.nanoTime() - startNanos < RUN_MS * 1_000_000) {
                  int number = ID.incrementAndGet();
                  String id = String.format("%016x", number);
                  record.line(id + " sent");
                  Client.Answer answer =
                      client.read("key" + number % 97, id, "itinerary-read", WAIT_MS,
                          WAIT_MS + Fleet.SLACK_MS + Fleet.LOST_AFTER_MS);
                  // What the client has sent twice may run twice.
                  if (!answer.sentTwice()) {
                    answers.put(id, answer.line());
                  }
                  record.line(id + " answered " + answer.line());
                  (answer.lost() || answer.excused() ? lost : answer.served() ? served : otherwise).incrementAndGet();
                  Threads.sleep(40);
                }
                client.close();
              }));
    }
    for (Thread client : clients) {
      client.join();
    }
    Threads.sleep(500);
    int twice = 0;
    int deniedButRun = 0;
    for (Map.Entry<String, List<String>> run : runs.entrySet()) {
      String answer = answers.get(run.getKey());
      if (answer == null) {
        continue;
      }
      if (run.getValue().size() > 1) {
        twice++;
        record.tell("TWICE   " + run.getKey() + " run by " + run.getValue() + ", answered '" + answer + "'");
      } else if (answer.startsWith("SERVER_ERROR busy")) {
        deniedButRun++;
        record.tell("DENIED  " + run.getKey() + " run by " + run.getValue() + ", answered '" + answer + "'");
      }
    }
    record.tell(
        "second answers " + copies + "; served " + served + ", denied or failed " + otherwise + ", without an answer " + lost
            + "; run twice " + twice + ", denied although run " + deniedButRun);
    boolean happened = copies.get() > 0 || !fleet.trouble;
    fleet.finish(proxy, twice + deniedButRun > 0 ? 1 : happened ? 0 : 2);
  }
}
