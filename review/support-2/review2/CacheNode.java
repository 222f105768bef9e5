package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * A cache node, which begins a command when its last byte has come and answers the
 * commands of one connection in their order.
 */
final class CacheNode {
  final String name;
  final int port;
  private final Record record;
  private final ServerSocket listener;

  volatile int serviceMs = 20;

  volatile int valueBytes = 16;

  /** Whether the node holds all keys, or none. */
  volatile boolean holdsKeys = true;

  CacheNode(String name, Record record) throws IOException {
    this.name = name;
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
      String line;
      while ((line = in.line()) != null) {
        String[] words = line.split(" ");
        boolean write = words[0].equals("ms");
        if (write) {
          in.block(Integer.parseInt(words[2]) + 2);
        }
        String id = flag(words, 'O');
        record.line("node %s runs %s", name, line);
        answer(socket, write, id);
      }
    } catch (IOException | InterruptedException e) {
      // The proxy has given up the attempt.
    }
  }

  private void answer(Socket socket, boolean write, String id) throws IOException, InterruptedException {
    Thread.sleep(serviceMs);
    String reply = holdsKeys ? "VA " + valueBytes + " O" + id + "\r\n" + value(id, valueBytes) : "EN O" + id;
    socket.getOutputStream().write(Wire.ascii(write ? "HD O" + id + " cr" + id + "\r\n" : reply + "\r\n"));
  }

  /** The value that is made for a request: its id, repeated. */
  static String value(String id, int bytes) {
    StringBuilder text = new StringBuilder(bytes + id.length());
    while (text.length() < bytes) {
      text.append(id).append('.');
    }
    text.setLength(bytes);
    return text.toString();
  }

  static String flag(String[] words, char flag) {
    for (int i = 2; i < words.length; i++) {
      if (words[i].charAt(0) == flag) {
        return words[i].substring(1);
      }
    }
    return "";
  }
}
