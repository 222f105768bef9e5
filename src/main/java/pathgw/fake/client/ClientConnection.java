package pathgw.fake.client;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import pathgw.fake.Clock;
import pathgw.fake.ConnectionHandler;
import pathgw.fake.ConnectionSide;
import pathgw.fake.RecordCutter;

/** The connection of a client to a proxy, with at most one attempt in flight. */
final class ClientConnection implements ConnectionHandler {
  /**
   * How long the client keeps reading after an attempt's timeout, so that the observer also
   * receives late answers.
   */
  private static final Duration LATE_ANSWER_WAIT = Duration.ofMillis(400);

  private static final String WRITTEN_VALUE = "some bytes of a booking";
  private static final String VALUE_LINE = "VA ";
  private static final String STORED_LINE = "HD ";
  private static final String REJECTED_LINE = "SERVER_ERROR busy";
  private static final int CRLF_BYTES = 2;

  private final Clock clock;
  private final Random random;
  private final ClientObserver observer;
  private final ClientBehavior behavior;
  private final List<String> tenants;
  private final FakeClients clients;
  private final ConnectionSide side;
  private final int proxy;
  private final RecordCutter cutter = new RecordCutter(this::line);
  private ClientAttempt inFlight;
  private boolean ended;
  private boolean everUsed;

  ClientConnection(
      Clock clock,
      Random random,
      ClientObserver observer,
      ClientBehavior behavior,
      List<String> tenants,
      FakeClients clients,
      ConnectionSide side,
      int proxy) {
    this.clock = clock;
    this.random = random;
    this.observer = observer;
    this.behavior = behavior;
    this.tenants = tenants;
    this.clients = clients;
    this.side = side;
    this.proxy = proxy;
  }

  void close() {
    side.close();
  }

  void send(ClientRequest request, Duration timeout, int retries) {
    ClientAttempt attempt =
        new ClientAttempt(
            RandomIds.next(random), request, clock.now(), timeout, retries, !everUsed);
    everUsed = true;
    inFlight = attempt;
    side.write(Buffer.buffer(command(attempt)));
    observer.attemptSent(attempt, proxy);
    if (random.nextDouble() < behavior.abandonedShare) {
      Duration abandonAfter = Duration.ofNanos((long) (timeout.toNanos() * random.nextDouble()));
      clock.schedule(abandonAfter, () -> abandon(attempt));
    }
    clock.schedule(timeout.plus(LATE_ANSWER_WAIT), () -> giveUp(attempt));
  }

  private String command(ClientAttempt attempt) {
    ClientRequest request = attempt.request();
    String labels = labels(attempt);
    if (request.requestClass().effect() == RequestClass.Effect.IDEMPOTENT) {
      return "mg " + request.key() + " v" + labels + "\r\n";
    }
    String line = "ms " + request.key() + " " + WRITTEN_VALUE.length() + labels + "\r\n";
    return line + WRITTEN_VALUE + "\r\n";
  }

  private String labels(ClientAttempt attempt) {
    ClientRequest request = attempt.request();
    String idempotencyKey = request.idempotencyKey();
    return " O"
        + attempt.id()
        + " Pc="
        + request.requestClass().name()
        + ",t="
        + tenants.get(request.tenant())
        + ",d="
        + attempt.timeout().toMillis()
        + (idempotencyKey.isEmpty() ? "" : ",k=" + idempotencyKey)
        + (attempt.retries() > 0 ? ",r=1" : "");
  }

  private void abandon(ClientAttempt attempt) {
    if (attempt.equals(inFlight)) {
      inFlight = null;
      observer.attemptAbandoned(attempt, proxy);
      closeAndEnd();
    }
  }

  private void giveUp(ClientAttempt attempt) {
    if (attempt.equals(inFlight)) {
      inFlight = null;
      observer.attemptTimedOut(attempt, proxy);
      closeAndEnd();
    }
  }

  private void closeAndEnd() {
    side.close();
    ended = true;
  }

  @Override
  public void received(Buffer bytes) {
    cutter.add(bytes);
  }

  private void line(byte[] bytes, int from, int to) {
    String line = RecordCutter.text(bytes, from, to);
    if (!line.startsWith(VALUE_LINE)) {
      answered(line);
      return;
    }
    String size = line.split(" ")[1];
    int length = size.matches("\\d{1,7}") ? Integer.parseInt(size) : 0;
    cutter.expectBlock(
        length + CRLF_BYTES,
        (value, start, end) ->
            answered(line + " " + RecordCutter.text(value, start, end - CRLF_BYTES)));
  }

  private void answered(String answer) {
    ClientAttempt attempt = inFlight;
    inFlight = null;
    observer.answered(attempt, proxy, answer);
    if (attempt == null) {
      return;
    }
    reuseOrClose();
    if (answer.startsWith(REJECTED_LINE)) {
      clients.retry(attempt, retryAfter(answer));
    } else if (!isSuccess(answer) && attempt.request().mayBeRetried()) {
      clients.retry(attempt, Duration.ZERO);
    }
  }

  private void reuseOrClose() {
    if (random.nextDouble() < behavior.keptOpenShare) {
      ended = true; // The connection stays open but is never used again.
    } else if (ended || !clients.keepIdle(this, proxy)) {
      closeAndEnd();
    }
  }

  private static boolean isSuccess(String answer) {
    return answer.startsWith(VALUE_LINE) || answer.startsWith(STORED_LINE);
  }

  /** Returns the third word of a rejection as milliseconds; zero if there is none. */
  private static Duration retryAfter(String rejection) {
    String[] words = rejection.split(" ");
    return Duration.ofMillis(words.length > 2 ? Integer.parseInt(words[2]) : 0);
  }

  @Override
  public void ended() {
    ended = true;
    clients.removeIdle(this, proxy);
    if (inFlight == null) {
      return;
    }
    ClientAttempt attempt = inFlight;
    inFlight = null;
    observer.connectionLost(attempt, proxy, !side.peerHasUnreadBytes());
    // The proxy has died, or it closed the idle connection while the command was in transit.
    if (attempt.request().mayBeRetried()) {
      clients.retry(attempt, Duration.ZERO);
    }
  }
}
