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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import pathgw.config.Config;
import pathgw.config.TestConfig;
import pathgw.transport.Transport;
import pathgw.transport.VertxTransport;

/**
 * One proxy on real sockets, whose peers are raw sockets that the test controls. Its event loop can
 * be blocked; the bytes that peers send meanwhile are in the kernel's buffers when it continues.
 */
final class SocketFixture implements AutoCloseable {
  static final int TIMEOUT_MS = 5000;

  /** The test's end of a connection. */
  static final class Peer {
    final Socket socket;

    Peer(Socket socket) throws IOException {
      this.socket = socket;
      socket.setSoTimeout(TIMEOUT_MS);
      socket.setTcpNoDelay(true);
    }

    Peer send(String bytes) throws IOException {
      socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
      return this;
    }

    /** Reads a line with its terminator, or up to the end of the stream; throws on a reset. */
    String readLine() throws IOException {
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

    /** Reads up to the end of the stream; throws on a reset. */
    String readToEnd() throws IOException {
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  /** Listens on loopback and queues the accepted connections. */
  static final class FakeServer implements AutoCloseable {
    final ServerSocket socket;
    private final LinkedBlockingQueue<Peer> accepted = new LinkedBlockingQueue<>();

    FakeServer(Consumer<Peer> onAccept) throws IOException {
      socket = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
      Thread acceptor =
          new Thread(
              () -> {
                try {
                  while (true) {
                    Peer peer = new Peer(socket.accept());
                    accepted.add(peer);
                    onAccept.accept(peer);
                  }
                } catch (IOException closed) {
                  // The test has closed the server.
                }
              });
      acceptor.setDaemon(true);
      acceptor.start();
    }

    int port() {
      return socket.getLocalPort();
    }

    /** Waits for the next accepted connection. */
    Peer next() throws InterruptedException {
      Peer peer = accepted.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
      if (peer == null) {
        throw new AssertionError("no connection was accepted");
      }
      return peer;
    }

    /** The next accepted connection, or null if there is none yet. */
    Peer poll() {
      return accepted.poll();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  final Vertx vertx = VertxTransport.vertx();
  final Context loop = vertx.getOrCreateContext();
  final FakeServer node = new FakeServer(peer -> {});
  final FakeServer origin = new FakeServer(peer -> {});
  final FakeServer discovery = new FakeServer(peer -> sendEndpointList(peer));
  final Config config;
  final ProxyServer proxy;
  final int port;
  private int lastId;

  SocketFixture() throws Exception {
    this(transport -> transport, text -> text);
  }

  SocketFixture(UnaryOperator<Transport> wrapTransport, UnaryOperator<String> editConfig)
      throws Exception {
    config =
        Config.read(
            editConfig
                .apply(
                    TestConfig.json()
                        .replace(
                            "\"discovery\": \"127.0.0.1:1\"",
                            "\"discovery\": \"127.0.0.1:" + discovery.port() + "\""))
                .getBytes(StandardCharsets.UTF_8));
    proxy = new ProxyServer(wrapTransport.apply(new VertxTransport(vertx)), config, 0);
    Promise<Integer> started = Promise.promise();
    loop.runOnContext(now -> proxy.start().onComplete(started));
    port = await(started.future());
  }

  static String listEntry(String host, int port, String kind) {
    return "{\"host\":\""
        + host
        + "\",\"dial\":\"127.0.0.1:"
        + port
        + "\",\"site\":\"here\",\"class\":\""
        + kind
        + "\",\"block\":0,\"health\":\"ready\",\"share\":1.0,\"born_ms\":0}";
  }

  private void sendEndpointList(Peer peer) {
    try {
      sendEndpointList(
          peer, listEntry("n1", node.port(), "std"), listEntry("o", origin.port(), "origin"));
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  /** Answers a call for the endpoint list with a response that stays open as a watch. */
  static void sendEndpointList(Peer peer, String... entries) throws IOException {
    peer.readLine();
    String list = "{\"seq\":1,\"whole\":true,\"hosts\":[" + String.join(",", entries) + "]}\n";
    peer.send(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + Integer.toHexString(list.length())
            + "\r\n"
            + list
            + "\r\n");
  }

  Peer client() throws IOException {
    return new Peer(new Socket("127.0.0.1", port));
  }

  /** Returns a new request id. */
  String id() {
    return "a" + ++lastId;
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

  /** Sends a read; returns the node's end of the connection on which it was forwarded. */
  Peer sendAndAwaitAtNode(Peer client, String id) throws Exception {
    client.send(read(id));
    Peer nodePeer = node.next();
    String line = nodePeer.readLine();
    if (!line.contains("O" + id)) {
      throw new AssertionError(line);
    }
    return nodePeer;
  }

  /** Waits until the proxy has the endpoint list and forwards requests. */
  SocketFixture awaitEndpointList() throws Exception {
    Peer client = client();
    while (true) {
      String id = id();
      client.send(read(id));
      Peer nodePeer = null;
      long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
      while (nodePeer == null && client.socket.getInputStream().available() == 0) {
        nodePeer = node.poll();
        if (System.nanoTime() > until) {
          throw new AssertionError("neither forwarded nor rejected");
        }
        Thread.onSpinWait();
      }
      if (nodePeer != null) {
        nodePeer.readLine();
        nodePeer.send(value(id));
        client.readLine();
        client.readLine();
        // Closes both connections, so that the next command opens new ones.
        nodePeer.reset();
        client.reset();
        eventually(
            "the proxy has seen both connections end",
            () ->
                proxy.resourceUsage().nodeConnections() == 0
                    && proxy.resourceUsage().clients() == 0);
        return this;
      }
      client.readLine();
    }
  }

  /** Blocks the event loop while a step runs, at least for a minimum time in milliseconds. */
  void whileLoopBlocked(long minMs, Step step) throws Exception {
    CountDownLatch blocked = new CountDownLatch(1);
    CountDownLatch unblock = new CountDownLatch(1);
    loop.runOnContext(
        now -> {
          blocked.countDown();
          try {
            unblock.await(TIMEOUT_MS, TimeUnit.MILLISECONDS);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    blocked.await();
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(minMs);
    try {
      step.run();
      while (System.nanoTime() < until) {
        Thread.sleep(1);
      }
    } finally {
      unblock.countDown();
    }
  }

  interface Step {
    void run() throws Exception;
  }

  /**
   * Waits until a condition holds, which is evaluated on the event loop.
   *
   * @param description the message of the failure if the condition never holds
   */
  void eventually(String description, BooleanSupplier condition) throws Exception {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
    while (true) {
      Promise<Boolean> evaluated = Promise.promise();
      loop.runOnContext(now -> evaluated.complete(condition.getAsBoolean()));
      if (await(evaluated.future())) {
        return;
      }
      if (System.nanoTime() > until) {
        throw new AssertionError(description);
      }
      Thread.sleep(2);
    }
  }

  Future<Void> stop() {
    Promise<Void> stopped = Promise.promise();
    loop.runOnContext(now -> proxy.stop().onComplete(stopped));
    return stopped.future();
  }

  static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  @Override
  public void close() throws IOException {
    try {
      await(vertx.close());
    } catch (Exception e) {
      throw new IOException(e);
    }
    node.close();
    origin.close();
    discovery.close();
  }
}
