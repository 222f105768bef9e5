package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Usual reads that miss, while some answers of the origin have a length that does not fit. */
final class ShortLength {
  private static final int USUAL_CLIENTS = 5;
  private static final int SPOILT_ONE_IN = 20;
  private static final int WAIT_MS = 1500;
  private static final long RUN_MS = 10_000;

  private static final AtomicInteger ID = new AtomicInteger();

  private ShortLength() {}

  public static void main(String[] args) throws Exception {
    AtomicInteger served = new AtomicInteger();
    AtomicInteger otherwise = new AtomicInteger();
    AtomicInteger lost = new AtomicInteger();
    AtomicInteger wrong = new AtomicInteger();
    Record[] log = new Record[1];
    AtomicInteger spoilt = new AtomicInteger();
    Fleet fleet =
        new Fleet(
            args,
            true,
            (what, id) -> {
              log[0].line("run     " + id + ": " + what);
              if (what.endsWith("does not fit")) {
                spoilt.incrementAndGet();
              }
            });
    Record record = fleet.record;
    log[0] = record;
    Proxy proxy = new Proxy(fleet.root, fleet.folder, 128, 1024);
    fleet.start(proxy, fleet.hosts);
    if (fleet.trouble) {
      fleet.origin.spoilOneIn(SPOILT_ONE_IN);
    }
    long startNanos = System.nanoTime();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < USUAL_CLIENTS; i++) {
      clients.add(
          Threads.start(
              () -> {
                Client client = new Client(proxy.port);
                while (System.nanoTime() - startNanos < RUN_MS * 1_000_000) {
                  String id = String.format("%016x", ID.incrementAndGet());
                  record.line("sent    " + id);
                  Client.Answer answer =
                      client.read(id, id, "itinerary-read", WAIT_MS,
                          WAIT_MS + Fleet.SLACK_MS + Fleet.LOST_AFTER_MS);
                  boolean right = answer.value().equals(CacheNode.value(id));
                  (answer.lost() ? lost : !answer.served() ? otherwise : right ? served : wrong)
                      .incrementAndGet();
                  String text = id + " '" + answer.line() + "' '" + answer.value() + "'";
                  if (answer.served() && !right) {
                    record.tell("WRONG   " + text);
                  } else {
                    record.line("answer  " + text);
                  }
                  Threads.sleep(50);
                }
                client.close();
              }));
    }
    for (Thread client : clients) {
      client.join();
    }
    record.tell(
        "spoilt answers " + spoilt + "; served " + served + ", denied or failed " + otherwise + ", lost " + lost
            + ", served with another value than was made for the request " + wrong);
    boolean happened = spoilt.get() > 0 || !fleet.trouble;
    fleet.finish(proxy, wrong.get() + lost.get() > 0 || !proxy.isAlive() ? 1 : happened ? 0 : 2);
  }
}
