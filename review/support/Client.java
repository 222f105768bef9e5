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
  private static final String SILENCE = "no answer: nothing came";
  private static final String CLOSED = "no answer: closed";
  private static final String NOT_CONNECTED = "no answer: no connection";

  /**
   * What became of a request.
   *
   * @param afterSeconds the time from its last byte, or that of the last sending, to the answer
   * @param sentTwice whether it was sent once more because the connection ended
   */
  record Answer(String line, String value, double afterSeconds, boolean sentTwice) {
    boolean served() {
      return line.startsWith("VA ") || line.startsWith("HD ");
    }

    /**
     * Whether it was written whole to a connection that stayed open, and nothing came in its time
     * and half a second more.
     */
    boolean lost() {
      return line.equals(SILENCE);
    }

    /**
     * Whether there was no connection, or it ended with no whole answer twice: the pages excuse
     * some of these ends, so none of them is counted.
     */
    boolean excused() {
      return line.equals(CLOSED) || line.equals(NOT_CONNECTED);
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
    Answer first = exchange(line, limitMs, false);
    return first.line().equals(CLOSED) ? exchange(line, limitMs, true) : first;
  }

  private Answer exchange(String command, int limitMs, boolean again) {
    String line;
    String value = "";
    long sentNanos = System.nanoTime();
    try {
      if (!connect(limitMs)) {
        return new Answer(NOT_CONNECTED, "", 0, again);
      }
      socket.getOutputStream().write(command.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
      sentNanos = System.nanoTime();
      socket.setSoTimeout(limitMs);
      line = Lines.read(in);
      if (line == null) {
        line = CLOSED;
        close();
      } else if (line.startsWith("VA ")) {
        int length = Integer.parseInt(line.split(" ")[1]);
        byte[] bytes = in.readNBytes(length + 2);
        // A client can tell that a value is not whole.
        line = bytes.length == length + 2 ? line : CLOSED;
        value = new String(bytes, 0, Math.min(length, bytes.length), StandardCharsets.ISO_8859_1);
      }
    } catch (SocketTimeoutException e) {
      line = SILENCE;
      close();
    } catch (IOException e) {
      line = CLOSED;
      close();
    }
    return new Answer(line, value, (System.nanoTime() - sentNanos) / 1e9, again);
  }

  /** Connects where there is no connection; returns false if that fails. */
  private boolean connect(int limitMs) {
    try {
      if (socket == null) {
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), limitMs);
        in = new BufferedInputStream(socket.getInputStream());
      }
      return true;
    } catch (IOException e) {
      close();
      return false;
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
