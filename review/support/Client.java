package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** A usual client: keeps its connection and sends one request after the other on it. */
final class Client {
  /** What became of a request. */
  record Answer(String line, String value, double afterSeconds) {
    boolean served() {
      return line.startsWith("VA ") || line.startsWith("HD ");
    }

    /** Neither a line nor an error that the proxy sent: the request has no answer. */
    boolean none() {
      return line.startsWith("no answer");
    }
  }

  private final int port;
  private Socket socket;
  private InputStream in;

  Client(int port) {
    this.port = port;
  }

  /** Sends a read and waits for its answer. */
  Answer read(String key, String id, String requestClass, int waitMs, int limitMs) {
    return request(
        "mg " + key + " v O" + id + " Pc=" + requestClass + ",t=abay-travel,d=" + waitMs + "\r\n", limitMs);
  }

  /** Sends a write, whose idempotency key is its id, and waits for its answer. */
  Answer write(String key, String id, String requestClass, int waitMs, int limitMs) {
    String labels = "Pc=" + requestClass + ",t=abay-travel,d=" + waitMs + ",k=" + id;
    return request("ms " + key + " 5 O" + id + " " + labels + "\r\nhello\r\n", limitMs);
  }

  /**
   * Sends a request and waits for its answer. A connection that the proxy ends before any byte of
   * the answer may have crossed the request, which is then sent once more on a new one.
   */
  private Answer request(String line, int limitMs) {
    long startNanos = System.nanoTime();
    Answer answer = exchange(line, startNanos, limitMs);
    boolean closed = answer.line().equals("no answer: closed");
    return closed && answer.afterSeconds() * 1000 < limitMs ? exchange(line, startNanos, limitMs) : answer;
  }

  private Answer exchange(String command, long startNanos, int limitMs) {
    String line;
    String value = "";
    try {
      connect(limitMs);
      socket.getOutputStream().write(command.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
      socket.setSoTimeout((int) Math.max(1, limitMs - (System.nanoTime() - startNanos) / 1_000_000));
      line = Lines.read(in);
      if (line == null) {
        line = "no answer: closed";
        close();
      } else if (line.startsWith("VA ")) {
        value = new String(in.readNBytes(Integer.parseInt(line.split(" ")[1])), StandardCharsets.ISO_8859_1);
        in.readNBytes(2);
      }
    } catch (SocketTimeoutException e) {
      line = "no answer: nothing came";
      close();
    } catch (IOException e) {
      line = "no answer: closed";
      close();
    }
    return new Answer(line, value, (System.nanoTime() - startNanos) / 1e9);
  }

  private void connect(int limitMs) throws IOException {
    if (socket == null) {
      socket = new Socket();
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress("127.0.0.1", port), limitMs);
      in = new BufferedInputStream(socket.getInputStream());
    }
  }

  void close() {
    try {
      if (socket != null) {
        socket.close();
      }
    } catch (IOException e) {
      // It is gone either way.
    }
    socket = null;
  }
}
