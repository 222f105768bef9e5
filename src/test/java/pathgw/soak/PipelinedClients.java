package pathgw.soak;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import pathgw.soak.ClientRequest.Result;

/**
 * Clients that each send several commands at once on one connection and read the responses in their
 * order. They run on an event loop of their own.
 */
final class PipelinedClients {
  /**
   * A command that was written later than this before the end of its connection may have crossed
   * it; its client would send it once more elsewhere.
   */
  private static final long CROSSING_NANOS = 100 * SoakCluster.NANOS_PER_MILLI;

  private static final String CRLF = "\r\n";

  private final Vertx vertx = SoakCluster.vertx();
  private final Context loop = vertx.getOrCreateContext();
  private final NetClient client =
      vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true));
  private final SoakCluster cluster;
  private final int port;
  private final String idPrefix;
  private final Queue<ClientRequest> requests = new ConcurrentLinkedQueue<>();
  private int requestCount;

  PipelinedClients(SoakCluster cluster, int port, String idPrefix) {
    this.cluster = cluster;
    this.port = port;
    this.idPrefix = idPrefix;
  }

  /** One connection and the commands that were sent on it. */
  final class Connection {
    private final NetSocket socket;
    private final RecordParser parser;
    private final ArrayDeque<ClientRequest> unanswered = new ArrayDeque<>();
    private boolean valueFollows;
    private boolean ended;

    private Connection(NetSocket socket) {
      this.socket = socket;
      parser = RecordParser.newDelimited(CRLF, socket);
      parser.handler(this::receive);
      socket.exceptionHandler(reset -> {});
      socket.closeHandler(closed -> end());
    }

    /** Prepares commands that are sent at once. */
    Batch prepare(RequestClass requestClass, int count, int valueBytes) throws Exception {
      return new Batch(this, newRequests(requestClass, count), valueBytes);
    }

    /** Sends commands at once. */
    void send(RequestClass requestClass, int count, int valueBytes) throws Exception {
      prepare(requestClass, count, valueBytes).send();
    }

    private void write(List<ClientRequest> batch, Buffer bytes) {
      if (ended) {
        batch.forEach(request -> request.end(Result.NOT_TAKEN));
        return;
      }
      unanswered.addAll(batch);
      socket
          .write(bytes)
          .onSuccess(
              written -> batch.forEach(request -> request.writtenAtNanos = System.nanoTime()));
    }

    private void receive(Buffer record) {
      if (valueFollows) {
        valueFollows = false;
        parser.delimitedMode(CRLF);
        unanswered.poll().end(Result.SERVED);
        return;
      }
      String line = record.toString();
      if (unanswered.isEmpty()) {
        cluster.violations.add("response to no command: " + line);
      } else if (line.startsWith("VA ")) {
        valueFollows = true;
        parser.fixedSizeMode(Integer.parseInt(line.split(" ")[1]) + CRLF.length());
      } else {
        unanswered.poll().end(result(line));
      }
    }

    private static Result result(String line) {
      if (line.startsWith("HD ")) {
        return Result.SERVED;
      }
      return line.startsWith("SERVER_ERROR busy") ? Result.REJECTED : Result.FAILED;
    }

    private void end() {
      ended = true;
      long latestNotCrossing = System.nanoTime() - CROSSING_NANOS;
      for (ClientRequest request : unanswered) {
        boolean accepted = request.writtenAtNanos > 0 && request.writtenAtNanos < latestNotCrossing;
        request.end(accepted ? Result.CUT_OFF : Result.NOT_TAKEN);
      }
      unanswered.clear();
    }

    void close() {
      loop.runOnContext(now -> socket.close());
    }
  }

  /** Commands for one connection. */
  final class Batch {
    private final Connection connection;
    private final List<ClientRequest> batch;
    private final Buffer bytes = Buffer.buffer();

    private Batch(Connection connection, List<ClientRequest> batch, int valueBytes) {
      this.connection = connection;
      this.batch = batch;
      batch.forEach(request -> bytes.appendString(request.command(valueBytes)));
    }

    /** Sends the commands at once. */
    void send() {
      loop.runOnContext(
          now -> {
            batch.forEach(request -> request.sentAtNanos = System.nanoTime());
            connection.write(batch, bytes);
          });
    }
  }

  /** Opens a connection. */
  Connection connect() throws Exception {
    return client
        .connect(port, "127.0.0.1")
        .map(Connection::new)
        .toCompletionStage()
        .toCompletableFuture()
        .get(10, TimeUnit.SECONDS);
  }

  private List<ClientRequest> newRequests(RequestClass requestClass, int count) throws Exception {
    List<ClientRequest> batch = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ClientRequest request =
          new ClientRequest(idPrefix + ++requestCount, requestClass, requestClass.longestTimeoutMs);
      request.pipelined = true;
      batch.add(request);
    }
    requests.addAll(batch);
    cluster.onLoop(() -> batch.forEach(request -> cluster.requests.put(request.id, request)));
    return batch;
  }

  /** Waits until each request has ended, or for the given time. */
  void awaitResponses(long millis) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + millis * SoakCluster.NANOS_PER_MILLI;
    while (System.nanoTime() < deadlineNanos
        && requests.stream().anyMatch(request -> request.result == null)) {
      Thread.sleep(10);
    }
  }

  /** How many requests ended in which way; those without a response are unanswered. */
  Map<Result, Integer> results() {
    Map<Result, Integer> results = new EnumMap<>(Result.class);
    for (ClientRequest request : requests) {
      results.merge(request.result == null ? Result.UNANSWERED : request.result, 1, Integer::sum);
    }
    return results;
  }

  /** The number of requests that were accepted and got no response. */
  long lost() {
    return requests.stream().filter(ClientRequest::isLost).count();
  }

  void stop() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }
}
