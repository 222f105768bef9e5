package review2;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;

/** A client connection on which commands may be sent before earlier ones are answered. */
final class Client {
  private static final int RECORDED_VALUE_BYTES = 40;

  private final Record record;
  private final Socket socket;
  private final Queue<String> outstanding = new ArrayDeque<>();

  /** The answer to each command, by its id. */
  final Map<String, String> answers = new ConcurrentHashMap<>();

  /** How the connection ended; null while it is open. */
  volatile String end;

  volatile double endedAtMs;

  Client(int port, Record record) throws IOException {
    this.record = record;
    socket = new Socket(Deployment.HOST, port);
    socket.setTcpNoDelay(true);
    Threads.start(this::read);
  }

  /** Sends bytes that hold the commands of these ids, in this order. */
  void send(String text, List<String> ids) throws IOException {
    synchronized (outstanding) {
      outstanding.addAll(ids);
    }
    record.line("client sends %s", text.substring(0, Math.min(text.indexOf('\r'), 100)) + (ids.size() > 1 ? " and " + (ids.size() - 1) + " more" : ""));
    socket.getOutputStream().write(Wire.ascii(text));
  }

  int unanswered() {
    synchronized (outstanding) {
      return outstanding.size();
    }
  }

  boolean isIdle() {
    return end == null && unanswered() == 0;
  }

  private void read() {
    try {
      Wire in = new Wire(socket.getInputStream());
      String line;
      while ((line = in.line()) != null) {
        String answer = line;
        if (line.startsWith("VA ")) {
          byte[] value = in.block(Integer.parseInt(line.split(" ")[1]) + 2);
          answer += " " + Wire.text(value, Math.min(RECORDED_VALUE_BYTES, value.length - 2));
        }
        answered(answer);
      }
      ended("end of stream");
    } catch (IOException e) {
      ended(e.toString());
    }
  }

  private void answered(String answer) {
    String id;
    synchronized (outstanding) {
      id = outstanding.poll();
    }
    if (id != null) {
      answers.put(id, answer);
    }
    record.line("client: %s answered: %s", id, answer);
  }

  private void ended(String how) {
    endedAtMs = record.now();
    end = how;
    record.line("client: connection ended: %s, commands unanswered: %d", how, unanswered());
  }
}
