package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/** The origin: answers reads with a value that names the request, and writes with a receipt. */
final class Origin {
  /** By how much a spoilt length is too short. */
  private static final int MISSING_BYTES = 4;

  final int port;
  private final long workMs;
  private final CacheNode.Listener listener;
  private final ServerSocket server;

  /** One in so many answers to reads has a length that does not fit; 0 for none. */
  private volatile int spoiltOneIn;

  private final AtomicInteger reads = new AtomicInteger();

  Origin(long workMs, CacheNode.Listener listener) throws IOException {
    this.workMs = workMs;
    this.listener = listener;
    server = new ServerSocket(0, 1024, InetAddress.getByName("127.0.0.1"));
    port = server.getLocalPort();
    Threads.start(this::acceptAll);
  }

  void spoilOneIn(int answers) {
    spoiltOneIn = answers;
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
      for (String first = Lines.read(in); first != null; first = Lines.read(in)) {
        String id = "";
        int length = 0;
        for (String line = Lines.read(in); line != null && !line.isEmpty(); line = Lines.read(in)) {
          String header = line.toLowerCase(Locale.ROOT);
          if (header.startsWith("x-txn:")) {
            id = line.substring(6).trim();
          } else if (header.startsWith("content-length:")) {
            length = Integer.parseInt(line.substring(15).trim());
          }
        }
        in.readNBytes(length);
        listener.command("origin", id);
        Threads.sleep(workMs);
        String body = first.startsWith("PUT") ? "receipt-" + id : CacheNode.value(id);
        int answerLength = body.length();
        if (first.startsWith("GET") && spoiltOneIn > 0 && reads.incrementAndGet() % spoiltOneIn == 0) {
          answerLength -= MISSING_BYTES;
          listener.command("origin answers with a length that does not fit", id);
        }
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + answerLength + "\r\n\r\n" + body;
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
      }
    } catch (IOException e) {
      // The proxy has closed the connection.
    }
  }
}
