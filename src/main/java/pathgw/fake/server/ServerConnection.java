package pathgw.fake.server;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Random;
import pathgw.fake.Clock;
import pathgw.fake.ConnectionHandler;
import pathgw.fake.ConnectionSide;
import pathgw.fake.Request;
import pathgw.fake.RequestReader;

/**
 * One connection of a proxy to a fake server. It sends replies in the order of the requests, closes
 * after an idle timeout and applies the connection and reply faults of {@link FaultInjection}.
 */
final class ServerConnection implements ConnectionHandler {
  private static final int MAX_RESET_DELAY_MS = 30;
  private static final Duration RESET_DELAY_AFTER_CUT_REPLY = Duration.ofMillis(5);

  /** The bytes missing at the end of a reply without a length that is followed by a reset. */
  private static final int BYTES_LOST_BY_RESET = 3;

  private static final Buffer EXTRA_BYTES = Buffer.buffer("what is this\r\n");

  private final FakeServer server;
  private final Clock clock;
  private final Random random;
  private final FaultInjection faults;
  private final String proxyName;
  private final ConnectionSide side;
  private final RequestReader requestReader;
  private final ArrayDeque<PendingReply> pending = new ArrayDeque<>();
  private Duration lastUsedAt;
  private boolean ended;

  /**
   * Starts to serve a connection.
   *
   * @param proxyName the proxy at the other end
   * @param side the server's side of the connection
   */
  ServerConnection(FakeServer server, String proxyName, ConnectionSide side) {
    this.server = server;
    clock = server.clock;
    random = server.random;
    faults = server.faults;
    this.proxyName = proxyName;
    this.side = side;
    requestReader = server.createReader(this::request, this::unreadable);
    lastUsedAt = clock.now();
    closeIfIdle();
  }

  String proxyName() {
    return proxyName;
  }

  private void closeIfIdle() {
    if (ended) {
      return;
    }
    Duration idleTimeout = server.idleTimeout();
    Duration remaining = lastUsedAt.plus(idleTimeout).minus(clock.now());
    boolean expired = remaining.toNanos() <= 0;
    if (pending.isEmpty() && expired) {
      close();
    } else {
      clock.schedule(expired ? idleTimeout : remaining, this::closeIfIdle);
    }
  }

  private void close() {
    side.close();
    ended();
  }

  private void reset() {
    side.reset();
    ended();
  }

  @Override
  public void received(Buffer bytes) {
    if (!ended) {
      requestReader.read(bytes);
    }
  }

  private void unreadable() {
    close();
  }

  private void request(Request request) {
    lastUsedAt = clock.now();
    if (server.drawFault(faults.closeProbability)) {
      server.observer.requestRejected(server.name, request);
      close();
      return;
    }
    boolean resets = server.drawFault(faults.resetProbability);
    if (resets && random.nextBoolean()) {
      reset();
      return;
    }
    PendingReply reply = new PendingReply(this);
    pending.add(reply);
    server.handle(request, reply);
    if (resets) {
      clock.schedule(Duration.ofMillis(random.nextInt(MAX_RESET_DELAY_MS)), this::reset);
    }
  }

  /** Sends all replies that are set, up to the first request that has no reply yet. */
  void flush() {
    while (!ended && !pending.isEmpty() && pending.peek().bytes() != null) {
      PendingReply reply = pending.poll();
      lastUsedAt = clock.now();
      if (reply.endsConnection()) {
        sendAndEnd(reply.bytes());
      } else {
        send(reply.bytes());
      }
    }
  }

  private void send(Buffer reply) {
    if (server.drawFault(faults.corruptReplyProbability)) {
      side.write(server.corrupt(reply));
    } else if (server.drawFault(faults.extraBytesProbability) && pending.isEmpty()) {
      side.write(reply.copy().appendBuffer(random.nextBoolean() ? reply : EXTRA_BYTES));
    } else {
      side.write(reply);
    }
  }

  private void sendAndEnd(Buffer reply) {
    if (server.drawFault(faults.resetProbability)) {
      side.write(reply.slice(0, reply.length() - BYTES_LOST_BY_RESET));
      clock.schedule(RESET_DELAY_AFTER_CUT_REPLY, side::reset);
    } else {
      side.write(reply);
      side.close();
    }
    ended();
  }

  @Override
  public void ended() {
    if (!ended) {
      ended = true;
      server.connectionEnded();
    }
  }
}
