package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Discovery with a list that does not change: the whole list on a poll; on a watch the list, or
 * nothing where the caller has it, and then an empty line every 2 s.
 */
final class Discovery {
  private static final long KEEP_ALIVE_MS = 2000;

  final int port;
  private final Record record;
  private final ServerSocket server;
  private final Map<String, Host> hosts = new LinkedHashMap<>();
  private final long version;

  Discovery(Record record, long version, List<Host> list) throws IOException {
    this.record = record;
    this.version = version;
    list.forEach(h -> hosts.put(h.host(), h));
    server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    port = server.getLocalPort();
    Threads.start(this::acceptAll);
  }

  private String event(boolean whole, Iterable<Host> entries) {
    List<String> texts = new ArrayList<>();
    entries.forEach(h -> texts.add(h.json()));
    return "{\"seq\":" + version + ",\"whole\":" + whole + ",\"hosts\":[" + String.join(",", texts) + "]}";
  }

  private String wholeList() {
    return event(true, hosts.values());
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
      BufferedReader in =
          new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      String first = in.readLine();
      if (first == null) {
        return;
      }
      for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
        // The headers are not needed.
      }
      record.line("discovery called: " + first);
      if (first.contains("follow=1")) {
        watch(socket, first);
      } else {
        String list = wholeList();
        write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
        record.line("discovery answered a poll");
      }
    } catch (IOException e) {
      // The caller has gone.
    }
  }

  /** Writes to the watch until its caller has gone. */
  private void watch(Socket socket, String request) throws IOException {
    write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    boolean current = request.contains("since=" + version + " ");
    writeChunk(socket, (current ? event(false, List.of()) : wholeList()) + "\n");
    record.line("discovery opened a watch with version " + version);
    while (true) {
      Threads.sleep(KEEP_ALIVE_MS);
      writeChunk(socket, "\n");
    }
  }

  private static void writeChunk(Socket socket, String text) throws IOException {
    write(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }
}
