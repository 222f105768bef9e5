package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;

/** Discovery: whole lists and watches with an empty line every 2 s while nothing changes. */
final class Discovery {
  final int port;
  private final String name;
  private final Record record;
  private final ServerSocket listener;
  private final Map<String, String> entries = new LinkedHashMap<>();
  private final Map<String, Long> changedAt = new LinkedHashMap<>();
  private long seq;

  Discovery(String name, long seq, Record record) throws IOException {
    this.name = name;
    this.seq = seq;
    this.record = record;
    listener = new ServerSocket(0, 128, InetAddress.getByName(Deployment.HOST));
    port = listener.getLocalPort();
    Threads.start(this::accept);
  }

  synchronized void put(String host, int dial, String kind, String health, long bornMs) {
    seq++;
    entries.put(
        host,
        String.format(
            "{\"host\":\"%s\",\"dial\":\"%s:%d\",\"site\":\"a\",\"class\":\"%s\",\"block\":1,\"health\":\"%s\","
                + "\"share\":1.0,\"born_ms\":%d}",
            host, Deployment.HOST, dial, kind, health, bornMs));
    changedAt.put(host, seq);
    record.line("discovery %s: seq %d: %s is %s", name, seq, host, health);
    notifyAll();
  }

  private synchronized String list(boolean whole, long since) {
    StringBuilder hosts = new StringBuilder();
    entries.forEach(
        (host, entry) -> {
          boolean gone = entry.contains("\"gone\"");
          if (whole ? !gone : changedAt.get(host) > since) {
            hosts.append(hosts.length() == 0 ? "" : ",").append(entry);
          }
        });
    return "{\"seq\":" + seq + ",\"whole\":" + whole + ",\"hosts\":[" + hosts + "]}";
  }

  String wholeList() {
    return list(true, 0);
  }

  private void accept() {
    while (!listener.isClosed()) {
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
      String request = in.line();
      for (String line = request; line != null && !line.isEmpty(); ) {
        line = in.line();
      }
      record.line("discovery %s: call %s", name, request);
      if (request.contains("follow=1")) {
        watch(socket.getOutputStream(), request);
      } else {
        String body = wholeList();
        socket
            .getOutputStream()
            .write(Wire.ascii("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body));
        record.line("discovery %s: answered %s", name, request);
      }
    } catch (IOException | InterruptedException e) {
      record.line("discovery %s: call ended: %s", name, e);
    }
  }

  private void watch(OutputStream out, String request) throws IOException, InterruptedException {
    int at = request.indexOf("since=");
    long since = at < 0 ? -1 : Long.parseLong(request.substring(at + 6).split("[ &]")[0]);
    out.write(Wire.ascii("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
    String text;
    long told;
    synchronized (this) {
      text = since < 0 || since > seq ? wholeList() : list(false, since);
      told = seq;
    }
    while (true) {
      out.write(Wire.ascii(Integer.toHexString(text.length() + 1) + "\r\n" + text + "\n\r\n"));
      if (!text.isEmpty()) {
        record.line("discovery %s: watch told: %s", name, text);
      }
      synchronized (this) {
        if (seq == told) {
          wait(2000);
        }
        text = seq > told ? list(false, told) : "";
        told = seq;
      }
    }
  }
}
