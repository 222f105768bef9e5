package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** The origin, over HTTP/1.1: answers a read with a value and a write with a receipt. */
final class Origin {
  static final int VALUE_BYTES = 26;

  /** How many bytes of a value come in the second piece. */
  private static final int REST_BYTES = 4;

  /** How long after the first piece the second one comes. */
  private static final int REST_AFTER_MS = 25;

  final int port;
  private final Record record;
  private final ServerSocket listener;

  volatile int serviceMs = 100;

  /** Whether the last bytes of a value come in a piece of their own. */
  volatile boolean inPieces;

  /** One answer of so many to a read has a Content-Length that leaves out the last bytes; 0 for none. */
  volatile int spoiltOneOf;

  final AtomicInteger spoilt = new AtomicInteger();
  private final AtomicInteger reads = new AtomicInteger();

  Origin(Record record) throws IOException {
    this.record = record;
    listener = new ServerSocket(0, 1024, InetAddress.getByName(Deployment.HOST));
    port = listener.getLocalPort();
    Threads.start(this::accept);
  }

  private void accept() {
    while (true) {
      try {
        Socket socket = listener.accept();
        Threads.start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      Wire in = new Wire(socket.getInputStream());
      String request;
      while ((request = in.line()) != null) {
        String id = "";
        int length = 0;
        for (String line = in.line(); !line.isEmpty(); line = in.line()) {
          if (line.startsWith("X-Txn: ")) {
            id = line.substring(7);
          } else if (line.startsWith("Content-Length: ")) {
            length = Integer.parseInt(line.substring(16));
          }
        }
        in.block(length);
        record.line("origin runs %s of %s, %d bytes", request, id, length);
        Thread.sleep(serviceMs);
        if (request.startsWith("PUT ")) {
          write(socket, head(id.length() + 1) + "r" + id);
        } else {
          answerRead(socket, id);
        }
      }
    } catch (IOException | InterruptedException | NullPointerException e) {
      // The proxy has given up the attempt.
    }
  }

  private void answerRead(Socket socket, String id) throws IOException, InterruptedException {
    String value = CacheNode.value(id, VALUE_BYTES);
    int declared = value.length();
    if (spoiltOneOf > 0 && reads.incrementAndGet() % spoiltOneOf == 0) {
      declared -= REST_BYTES;
      spoilt.incrementAndGet();
      record.line("origin: the answer to %s has the length %d", id, declared);
    }
    if (!inPieces) {
      write(socket, head(declared) + value);
      return;
    }
    write(socket, head(declared) + value.substring(0, value.length() - REST_BYTES));
    Thread.sleep(REST_AFTER_MS);
    write(socket, value.substring(value.length() - REST_BYTES));
  }

  private static String head(int length) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n";
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(Wire.ascii(text));
  }
}
