package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** The way between two locations: passes all bytes on, each after the same delay. */
final class Relay {
  final int port;
  private final int toPort;
  private final long delayNanos;
  private final ServerSocket server;

  Relay(int toPort, double delayMs) throws IOException {
    this.toPort = toPort;
    delayNanos = (long) (delayMs * 1e6);
    server = new ServerSocket(0, 1024, InetAddress.getByName("127.0.0.1"));
    port = server.getLocalPort();
    Threads.start(this::acceptAll);
  }

  private record Piece(long atNanos, byte[] bytes) {}

  private void acceptAll() {
    while (true) {
      try {
        Socket near = server.accept();
        Socket far = new Socket("127.0.0.1", toPort);
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        pass(near, far);
        pass(far, near);
      } catch (IOException e) {
        return;
      }
    }
  }

  private void pass(Socket from, Socket to) {
    LinkedBlockingQueue<Piece> pieces = new LinkedBlockingQueue<>();
    Threads.start(
        () -> {
          byte[] buffer = new byte[16384];
          try {
            InputStream in = from.getInputStream();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
              pieces.add(new Piece(System.nanoTime() + delayNanos, Arrays.copyOf(buffer, n)));
            }
          } catch (IOException e) {
            // Passed on as an end.
          }
          pieces.add(new Piece(System.nanoTime() + delayNanos, new byte[0]));
        });
    Threads.start(
        () -> {
          try (to) {
            OutputStream out = to.getOutputStream();
            while (true) {
              Piece piece = pieces.take();
              TimeUnit.NANOSECONDS.sleep(piece.atNanos() - System.nanoTime());
              if (piece.bytes().length == 0) {
                return;
              }
              out.write(piece.bytes());
              out.flush();
            }
          } catch (IOException | InterruptedException e) {
            // The other side has gone.
          }
        });
  }
}
