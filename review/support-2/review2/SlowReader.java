package review2;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;

/** A client that takes some seconds to read a long answer, and sends its next command meanwhile. */
final class SlowReader {
  private static final int VALUE_BYTES = 96 * 1024;
  private static final int RECEIVE_BUFFER_BYTES = 8192;
  private static final int TIMEOUT_MS = 1500;
  private static final int CLIENTS = 5;

  /** The client reads so much at a time: 16 KiB in a second. */
  private static final int PIECE_BYTES = 1638;

  private static final int PIECE_MS = 100;

  /** The next command is sent when so much of the answer has been read. */
  private static final int NEXT_COMMAND_AFTER_BYTES = 64 * 1024;

  private SlowReader() {}

  public static void main(String[] args) throws Exception {
    Case.run(args, SlowReader::play);
  }

  private static int play(Path folder, Record record, boolean trouble) throws Exception {
    Discovery discovery = new Discovery("A", 40, record);
    Cluster cluster = new Cluster(record, discovery);
    cluster.nodes.forEach(node -> node.valueBytes = VALUE_BYTES);
    Proxy proxy = Case.serve(folder, Deployment.addisTours(), discovery, record);
    if (proxy == null) {
      return Case.NOT_RUN;
    }
    int[] whole = new int[CLIENTS];
    Thread[] clients = new Thread[CLIENTS];
    for (int c = 0; c < CLIENTS; c++) {
      int number = c;
      clients[c] = Threads.start(() -> whole[number] = read(proxy.port, 2 * number, trouble, record));
      Thread.sleep(50);
    }
    for (Thread client : clients) {
      client.join(30_000);
    }
    proxy.recordLog(10);
    int cutOff = 0;
    int served = 0;
    for (int bytes : whole) {
      cutOff += bytes > 0 && bytes < VALUE_BYTES ? 1 : 0;
      served += bytes == VALUE_BYTES ? 1 : 0;
    }
    record.say("long answers that came whole %d, cut off %d of %d", served, cutOff, CLIENTS);
    if (served + cutOff == 0) {
      return Case.NOT_RUN;
    }
    return cutOff == 0 ? Case.HELD : Case.BROKEN;
  }

  /**
   * Sends a read, then another one behind it while the first one's answer is being read.
   *
   * @return how many bytes of the first one's value came
   */
  private static int read(int port, int number, boolean slowly, Record record) {
    int received = 0;
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      socket.connect(new InetSocketAddress(Deployment.HOST, port));
      socket.setSoTimeout(10_000);
      socket.getOutputStream().write(Wire.ascii(Command.read(number, "itinerary-read", TIMEOUT_MS)));
      record.line("client sends the read %s", Command.id(number));
      String head = headLine(socket);
      record.line("client: %s answered: %s", Command.id(number), head);
      if (!head.startsWith("VA " + VALUE_BYTES)) {
        return 0;
      }
      boolean sentNext = false;
      byte[] piece = new byte[PIECE_BYTES];
      while (received < VALUE_BYTES) {
        if (slowly) {
          Thread.sleep(PIECE_MS);
        }
        if (!sentNext && received >= NEXT_COMMAND_AFTER_BYTES) {
          sentNext = true;
          record.line("client sends the read %s, %d bytes of the answer to %s have come", Command.id(number + 1), received, Command.id(number));
          socket.getOutputStream().write(Wire.ascii(Command.read(number + 1, "itinerary-read", TIMEOUT_MS)));
        }
        int count = socket.getInputStream().read(piece, 0, Math.min(PIECE_BYTES, VALUE_BYTES - received));
        if (count < 0) {
          throw new IOException("end of stream");
        }
        received += count;
      }
      record.line("client: %s came whole", Command.id(number));
    } catch (IOException | InterruptedException e) {
      record.line("client: the answer to %s ended after %d of %d bytes: %s", Command.id(number), received, VALUE_BYTES, e);
    }
    return received;
  }

  /** Reads the first line byte by byte, so that nothing behind it is taken. */
  private static String headLine(Socket socket) throws IOException {
    StringBuilder line = new StringBuilder();
    int b;
    while ((b = socket.getInputStream().read()) != '\n') {
      if (b < 0) {
        throw new IOException("end of stream before an answer");
      }
      line.append((char) b);
    }
    return line.toString().trim();
  }
}
