package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Usual requests, while some hundred other clients stop in the middle of a request and stay. */
final class HalfWritten {
  private static final int MEMORY_MB = 128;
  private static final int SOCKETS = 1024;
  private static final int USUAL_CLIENTS = 20;
  private static final int STOPPING_CLIENTS = 480;
  private static final int VALUE_BYTES = 64 * 1024;
  private static final int WRITTEN_BYTES = 40_000;
  private static final int READ_WAIT_MS = 1500;
  private static final int WRITE_WAIT_MS = 300;
  private static final long TROUBLE_AT_MS = 4000;
  private static final long STOP_AT_MS = 24_000;
  private static final long RUN_MS = 30_000;

  private static final AtomicInteger ID = new AtomicInteger();

  private HalfWritten() {}

  public static void main(String[] args) throws Exception {
    AtomicInteger served = new AtomicInteger();
    AtomicInteger otherwise = new AtomicInteger();
    AtomicInteger excused = new AtomicInteger();
    AtomicInteger lost = new AtomicInteger();
    Fleet fleet = new Fleet(args, false, (node, id) -> {});
    Record record = fleet.record;
    Proxy proxy = new Proxy(fleet.root, fleet.folder, MEMORY_MB, SOCKETS);
    fleet.start(proxy, fleet.hosts);
    long startNanos = System.nanoTime();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < USUAL_CLIENTS; i++) {
      boolean writes = i % 2 == 1;
      clients.add(
          Threads.start(
              () -> {
                Client client = new Client(proxy.port);
                while (System.nanoTime() - startNanos < RUN_MS * 1_000_000) {
                  int number = ID.incrementAndGet();
                  String id = String.format("%016x", number);
                  record.line((writes ? "write   " : "read    ") + id);
                  Client.Answer answer = request(client, writes, number, id);
                  boolean right =
                      writes
                          ? answer.line().equals("HD O" + id + " creceipt-" + id)
                          : answer.served() && answer.value().equals(CacheNode.value(id));
                  (answer.lost() ? lost : answer.excused() ? excused : right ? served : otherwise)
                      .incrementAndGet();
                  String text = String.format("%s '%s' after %.3f s", id, answer.line(), answer.afterSeconds());
                  if (answer.lost()) {
                    record.tell("LOST    " + text);
                  } else {
                    record.line("answer  " + text);
                  }
                  Threads.sleep(100);
                }
                client.close();
              }));
    }
    Threads.sleep(TROUBLE_AT_MS);
    if (fleet.trouble) {
      record.tell(STOPPING_CLIENTS + " clients connect, write a part of a request and stop, again and again");
      for (int i = 0; i < STOPPING_CLIENTS; i++) {
        int number = i;
        Threads.start(
            () -> {
              // "The same again as soon as it is turned away."
              for (int time = 0; System.nanoTime() - startNanos < STOP_AT_MS * 1_000_000; time++) {
                writeHalf(proxy.port, 1000 * time + number);
              }
            });
      }
    }
    for (Thread client : clients) {
      client.join();
    }
    record.tell(
        "usual requests: served " + served + ", denied or failed " + otherwise + ", connection ended twice or refused "
            + excused + ", lost " + lost
            + (proxy.isAlive() ? "" : "; the proxy ended with status " + proxy.exitStatus()));
    fleet.finish(proxy, lost.get() > 0 || !proxy.isAlive() ? 1 : 0);
  }

  private static Client.Answer request(Client client, boolean write, int number, String id) {
    int waitMs = write ? WRITE_WAIT_MS : READ_WAIT_MS;
    int limitMs = waitMs + Fleet.SLACK_MS + Fleet.LOST_AFTER_MS;
    String key = "key" + number % 50;
    return write
        ? client.write(key, id, "seat-hold", waitMs, limitMs)
        : client.read(key, id, "itinerary-read", waitMs, limitMs);
  }

  /** Writes the line and a part of the value, then waits until the proxy ends the connection. */
  private static void writeHalf(int port, int number) {
    String line =
        String.format(
            "ms 7f3a9c21e0b4d655 %d Ob%015x Pc=seat-hold,t=abay-travel,d=300,k=%016x\r\n",
            VALUE_BYTES, number, number);
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", port), 5000);
      socket.getOutputStream().write(line.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().write(new byte[WRITTEN_BYTES]);
      socket.getOutputStream().flush();
      while (socket.getInputStream().read() >= 0) {
        // An error line is allowed before the close.
      }
    } catch (IOException e) {
      // The proxy has closed the connection.
    }
  }
}
