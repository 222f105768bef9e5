package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A cache node that holds every key, or none: it answers a read with a value that names its request
 * or with a miss, and a write, which belongs to the origin, with a miss.
 */
final class CacheNode {
  /** Is notified of what becomes of each command. */
  interface Listener {
    /**
     * @param what the name of the server that has begun the command, or the name and a verb where
     *     something else is told
     */
    void command(String what, String id);
  }

  final String name;
  final int port;
  private final Listener listener;
  private final long workMs;
  private final boolean empty;

  /** One in so many reads finds the queue full and is turned away; 0 for none. */
  private volatile int busyOneIn;

  /** One in so many of these answers comes a second time, some milliseconds late; 0 for none. */
  private volatile int copyOneIn;

  private final AtomicInteger reads = new AtomicInteger();
  private final AtomicInteger turnedAway = new AtomicInteger();
  private final ServerSocket server;

  /**
   * @param empty whether it lacks every key, so that it answers reads with a miss too
   */
  CacheNode(String name, long workMs, boolean empty, Listener listener) throws IOException {
    this.name = name;
    this.workMs = workMs;
    this.empty = empty;
    this.listener = listener;
    server = new ServerSocket(0, 1024, InetAddress.getByName("127.0.0.1"));
    port = server.getLocalPort();
    Threads.start(this::acceptAll);
  }

  void turnAwayOneIn(int answers, int withLateCopyOneIn) {
    busyOneIn = answers;
    copyOneIn = withLateCopyOneIn;
  }

  /** The value that is made for a request. */
  static String value(String id) {
    return "value-for-" + id;
  }

  private void acceptAll() {
    while (true) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        Threads.start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      for (String line = Lines.read(in); line != null; line = Lines.read(in)) {
        String[] words = line.split(" ");
        if (words[0].equals("mn")) {
          write(socket, "MN\r\n");
          continue;
        }
        if (words[0].equals("ms")) {
          in.readNBytes(Integer.parseInt(words[2]) + 2);
        }
        String id = Lines.flag(words, 'O');
        if (busyOneIn > 0 && reads.incrementAndGet() % busyOneIn == 0) {
          turnAway(socket, in, id);
          continue;
        }
        listener.command(name, id);
        Threads.sleep(workMs);
        write(
            socket,
            words[0].equals("mg") && !empty
                ? "VA " + value(id).length() + " O" + id + "\r\n" + value(id) + "\r\n"
                : "EN O" + id + "\r\n");
      }
    } catch (IOException e) {
      // The proxy has closed the connection.
    }
  }

  /**
   * Turns a command away, unseen. The copy comes 3 to 6 ms later, and only when no other command
   * waits on the connection then.
   */
  private void turnAway(Socket socket, InputStream in, String id) throws IOException {
    listener.command(name + " turns away", id);
    write(socket, "SERVER_ERROR busy\r\n");
    if (copyOneIn > 0 && turnedAway.incrementAndGet() % copyOneIn == 0) {
      Threads.sleep(ThreadLocalRandom.current().nextInt(3, 7));
      if (in.available() == 0) {
        write(socket, "SERVER_ERROR busy\r\n");
        listener.command(name + " has answered a second time", id);
      }
    }
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }
}
