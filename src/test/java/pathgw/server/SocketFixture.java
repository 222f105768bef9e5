package pathgw.server;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import pathgw.config.Address;
import pathgw.config.Config;
import pathgw.config.TestConfig;
import pathgw.transport.Connection;
import pathgw.transport.Transport;
import pathgw.transport.VertxTransport;

/**
 * One proxy on real sockets between raw peers that the test holds byte by byte. Its loop can be
 * held: what the peers do meanwhile lies at the machine, all of it, when the loop goes on.
 */
final class SocketFixture implements AutoCloseable {
  static final int PATIENCE_MS = 5000;

  /** One end of a connection, in the test's hands. */
  static final class Peer {
    final Socket socket;

    Peer(Socket socket) throws IOException {
      this.socket = socket;
      socket.setSoTimeout(PATIENCE_MS);
      socket.setTcpNoDelay(true);
    }

    Peer sends(String bytes) throws IOException {
      socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
      return this;
    }

    /** The next line with its end, or what there is of it before the end; a reset throws. */
    String line() throws IOException {
      ByteArrayOutputStream line = new ByteArrayOutputStream();
      int b;
      while ((b = socket.getInputStream().read()) >= 0) {
        line.write(b);
        if (b == '\n') {
          break;
        }
      }
      return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** All up to the other side's end; a reset throws. */
    String rest() throws IOException {
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    void resets() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  /** Listens and keeps who comes. */
  static final class Door implements AutoCloseable {
    final ServerSocket socket;
    private final LinkedBlockingQueue<Peer> came = new LinkedBlockingQueue<>();

    Door(Consumer<Peer> each) throws IOException {
      socket = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
      Thread taker =
          new Thread(
              () -> {
                try {
                  while (true) {
                    Peer peer = new Peer(socket.accept());
                    came.add(peer);
                    each.accept(peer);
                  }
                } catch (IOException closed) {
                  // The test is over.
                }
              });
      taker.setDaemon(true);
      taker.start();
    }

    int port() {
      return socket.getLocalPort();
    }

    Peer next() throws InterruptedException {
      Peer peer = came.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
      if (peer == null) {
        throw new AssertionError("nobody came");
      }
      return peer;
    }

    /** Whoever has come by now, or null. */
    Peer nextNow() {
      return came.poll();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  final Vertx vertx = VertxTransport.vertx();
  final Context loop = vertx.getOrCreateContext();
  final Door node = new Door(peer -> {});
  final Door origin = new Door(peer -> {});
  final Door list = new Door(peer -> tellList(peer));
  final Config config;
  final ProxyServer proxy;
  final int port;
  private int ids;

  SocketFixture() throws Exception {
    this(outside -> outside, text -> text);
  }

  SocketFixture(UnaryOperator<Transport> seam, UnaryOperator<String> changes) throws Exception {
    config =
        Config.read(
            changes
                .apply(
                    TestConfig.json()
                        .replace(
                            "\"discovery\": \"127.0.0.1:1\"",
                            "\"discovery\": \"127.0.0.1:" + list.port() + "\""))
                .getBytes(StandardCharsets.UTF_8));
    proxy = new ProxyServer(seam.apply(new VertxTransport(vertx)), config, 0);
    Promise<Integer> started = Promise.promise();
    loop.runOnContext(now -> proxy.start().onComplete(started));
    port = done(started.future());
  }

  static String entry(String host, int port, String kind) {
    return "{\"host\":\""
        + host
        + "\",\"dial\":\"127.0.0.1:"
        + port
        + "\",\"site\":\"here\",\"class\":\""
        + kind
        + "\",\"block\":0,\"health\":\"ready\",\"share\":1.0,\"born_ms\":0}";
  }

  private void tellList(Peer peer) {
    try {
      peer.line();
      String line =
          "{\"seq\":1,\"whole\":true,\"hosts\":["
              + entry("n1", node.port(), "std")
              + ","
              + entry("o", origin.port(), "origin")
              + "]}\n";
      peer.sends(
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              + Integer.toHexString(line.length())
              + "\r\n"
              + line
              + "\r\n");
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  Peer client() throws IOException {
    return new Peer(new Socket("127.0.0.1", port));
  }

  String id() {
    return "a" + ++ids;
  }

  static String read(String id) {
    return "mg k" + id + " v O" + id + " Pc=read,t=one,d=1400\r\n";
  }

  static String write(String id) {
    return "ms k" + id + " 1 O" + id + " Pc=write,t=one,d=290,k=1\r\nx\r\n";
  }

  static String value(String id) {
    return "VA 2 O" + id + "\r\nhi\r\n";
  }

  /**
   * The node's end of the connection on which a command has come, once the proxy knows the list.
   */
  Peer carries(Peer client, String id) throws Exception {
    client.sends(read(id));
    Peer at = node.next();
    String line = at.line();
    if (!line.contains("O" + id)) {
      throw new AssertionError(line);
    }
    return at;
  }

  /** Waits until the proxy has read the list. */
  SocketFixture knows() throws Exception {
    Peer client = client();
    while (true) {
      String id = id();
      client.sends(read(id));
      Peer at = null;
      long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
      while (at == null && client.socket.getInputStream().available() == 0) {
        at = node.nextNow();
        if (System.nanoTime() > until) {
          throw new AssertionError("neither sent on nor denied");
        }
        Thread.onSpinWait();
      }
      if (at != null) {
        at.line();
        at.sends(value(id));
        client.line();
        client.line();
        // So that the next command opens a connection of its own.
        at.resets();
        client.resets();
        eventually(
            "both ends are seen", () -> proxy.held().toNodes() == 0 && proxy.held().clients() == 0);
        return this;
      }
      client.line();
    }
  }

  /** Holds the loop while this is done, and for so long at least. */
  void held(long ms, Step step) throws Exception {
    CountDownLatch holds = new CountDownLatch(1);
    CountDownLatch goOn = new CountDownLatch(1);
    loop.runOnContext(
        now -> {
          holds.countDown();
          try {
            goOn.await(PATIENCE_MS, TimeUnit.MILLISECONDS);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    holds.await();
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
    try {
      step.run();
      while (System.nanoTime() < until) {
        Thread.sleep(1);
      }
    } finally {
      goOn.countDown();
    }
  }

  interface Step {
    void run() throws Exception;
  }

  /** Asked on the loop until it holds. */
  void eventually(String what, java.util.function.BooleanSupplier holds) throws Exception {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MS);
    while (true) {
      Promise<Boolean> asked = Promise.promise();
      loop.runOnContext(now -> asked.complete(holds.getAsBoolean()));
      if (done(asked.future())) {
        return;
      }
      if (System.nanoTime() > until) {
        throw new AssertionError(what);
      }
      Thread.sleep(2);
    }
  }

  Future<Void> stop() {
    Promise<Void> stopped = Promise.promise();
    loop.runOnContext(now -> proxy.stop().onComplete(stopped));
    return stopped.future();
  }

  static <T> T done(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  @Override
  public void close() throws IOException {
    try {
      done(vertx.close());
    } catch (Exception e) {
      throw new IOException(e);
    }
    node.close();
    origin.close();
    list.close();
  }

  /** A seam that lets a connection to one address come up only when the test says so. */
  static final class LateDials implements Transport {
    private final Transport world;

    /** Where connections come up late from now on. */
    volatile int port;

    final LinkedBlockingQueue<Runnable> waiting = new LinkedBlockingQueue<>();

    LateDials(Transport world) {
      this.world = world;
    }

    @Override
    public long nanos() {
      return world.nanos();
    }

    @Override
    public long unixMillis() {
      return world.unixMillis();
    }

    @Override
    public Runnable after(Duration span, Runnable what) {
      return world.after(span, what);
    }

    @Override
    public Future<Connection> dial(Address to, Duration within) {
      if (to.port() != port) {
        return world.dial(to, within);
      }
      Promise<Connection> up = Promise.promise();
      waiting.add(() -> world.dial(to, within).onComplete(up));
      return up.future();
    }

    @Override
    public Future<Integer> listen(Address at, Consumer<Connection> arrived) {
      return world.listen(at, arrived);
    }

    @Override
    public java.util.function.BiConsumer<io.vertx.core.buffer.Buffer, Address> datagrams(
        Address at, java.util.function.BiConsumer<io.vertx.core.buffer.Buffer, Address> heard) {
      return world.datagrams(at, heard);
    }
  }
}
