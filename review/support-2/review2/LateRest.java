package review2;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Answers of the origin whose length is too short, and whose last bytes come in a later piece. */
final class LateRest {
  private static final int RATE = 100;
  private static final int SECONDS = 10;
  private static final int TIMEOUT_MS = 1500;

  /** One answer of so many has a length that does not fit. */
  private static final int SPOILT_ONE_OF = 20;

  private LateRest() {}

  public static void main(String[] args) throws Exception {
    Case.run(args, LateRest::play);
  }

  private static int play(Path folder, Record record, boolean trouble) throws Exception {
    Discovery discovery = new Discovery("A", 40, record);
    Cluster cluster = new Cluster(record, discovery);
    cluster.nodes.forEach(node -> node.holdsKeys = false);
    cluster.origin.serviceMs = 20;
    cluster.origin.inPieces = true;
    cluster.origin.spoiltOneOf = trouble ? SPOILT_ONE_OF : 0;
    Proxy proxy = Case.serve(folder, Deployment.addisTours(), discovery, record);
    if (proxy == null) {
      return Case.NOT_RUN;
    }
    ClientPool pool = new ClientPool(proxy.port, 300, record);
    Map<String, Client> sent = new TreeMap<>();
    long start = System.nanoTime();
    for (int i = 0; i < RATE * SECONDS; i++) {
      while (System.nanoTime() < start + i * 1_000_000_000L / RATE) {
        Thread.sleep(1);
      }
      Client client = pool.idleConnection();
      if (client != null) {
        client.send(Command.read(i, "itinerary-read", TIMEOUT_MS), List.of(Command.id(i)));
        sent.put(Command.id(i), client);
      }
    }
    Thread.sleep(TIMEOUT_MS + 500);
    proxy.recordLog(10);
    return check(sent, cluster.origin, trouble, record);
  }

  private static int check(Map<String, Client> sent, Origin origin, boolean trouble, Record record) {
    int served = 0;
    int wrong = 0;
    for (String id : sent.keySet()) {
      String answer = sent.get(id).answers.getOrDefault(id, "");
      if (!answer.startsWith("VA ")) {
        continue;
      }
      String made = CacheNode.value(id, Origin.VALUE_BYTES);
      if (answer.equals("VA " + made.length() + " O" + id + " " + made)) {
        served++;
      } else {
        wrong++;
        record.line("BROKEN: %s was served with '%s', made for it was '%s'", id, answer, made);
      }
    }
    record.say("reads %d, answers with a length that does not fit %d; served with the value made for them %d, with another %d", sent.size(), origin.spoilt.get(), served, wrong);
    if (served == 0 || (trouble && origin.spoilt.get() == 0)) {
      return Case.NOT_RUN;
    }
    return wrong == 0 ? Case.HELD : Case.BROKEN;
  }
}
