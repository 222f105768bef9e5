package pathgw.fake.client;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import pathgw.fake.Clock;
import pathgw.fake.ConnectionHandler;
import pathgw.fake.ConnectionSide;
import pathgw.fake.RecordCutter;

/**
 * A client that sends one malformed command and waits until it receives an error line or its
 * connection ends.
 */
final class MalformedClient implements ConnectionHandler {
  private static final List<MalformedInput> INPUTS = List.of(MalformedInput.values());
  private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(3600);

  private final Clock clock;
  private final ClientObserver observer;
  private final ConnectionSide side;
  private final int proxy;
  private final Duration openedAt;

  /** Index into {@link #INPUTS}, which identifies the input in the observer's events. */
  private final int inputIndex;

  private final RecordCutter cutter = new RecordCutter(this::line);
  private boolean ended;

  MalformedClient(
      Clock clock,
      Random random,
      ClientObserver observer,
      String requestClass,
      ConnectionSide side,
      int proxy) {
    this.clock = clock;
    this.observer = observer;
    this.side = side;
    this.proxy = proxy;
    openedAt = clock.now();
    inputIndex = random.nextInt(INPUTS.size());
    MalformedInput input = INPUTS.get(inputIndex);
    String text = input.text(RandomIds.next(random), requestClass);
    if (!text.isEmpty()) {
      side.write(Buffer.buffer(text));
    }
    if (input == MalformedInput.INCOMPLETE_VALUE && random.nextBoolean()) {
      side.close();
      ended = true;
    } else {
      clock.schedule(RESPONSE_TIMEOUT, () -> end(null, ""));
    }
  }

  @Override
  public void received(Buffer bytes) {
    cutter.add(bytes);
  }

  private void line(byte[] bytes, int from, int to) {
    end(clock.now().minus(openedAt), RecordCutter.text(bytes, from, to));
  }

  @Override
  public void ended() {
    end(clock.now().minus(openedAt), "");
  }

  /**
   * Reports the end to the observer and closes the connection, on the first call only.
   *
   * @param responseTime the time from opening the connection to the error line or the close; null
   *     if neither was observed
   */
  private void end(Duration responseTime, String answer) {
    if (!ended) {
      ended = true;
      observer.malformedInputEnded(proxy, "form " + inputIndex, responseTime, answer);
      side.close();
    }
  }
}
