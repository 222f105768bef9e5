package pathgw.transport;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelOption;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import pathgw.config.Address;

class VertxTransportTest {
  private static final String HERE = "127.0.0.1";

  /**
   * Of several, since a busy machine may hold up one; held back by the kernel each takes 200 ms.
   */
  @Test
  void aConnectionOnWhichNothingIsWrittenIsHeardOfAtOnce() throws Exception {
    Vertx vertx = VertxTransport.vertx();
    try {
      VertxTransport transport = new VertxTransport(vertx);
      long best = Long.MAX_VALUE;
      for (int i = 0; i < 5; i++) {
        Promise<Long> heard = Promise.promise();
        int port =
            done(
                transport.listen(
                    new Address(HERE, 0), arrived -> heard.tryComplete(System.nanoTime())));
        long upAt =
            done(
                transport
                    .dial(new Address(HERE, port), Duration.ofSeconds(5))
                    .map(up -> System.nanoTime()));
        best = Math.min(best, done(heard.future()) - upAt);
      }
      long took = TimeUnit.NANOSECONDS.toMillis(best);
      assertTrue(took < 120, took + " ms");
    } finally {
      done(vertx.close());
    }
  }

  /** Small writes that the system holds back would go with a reset. */
  @Test
  void neitherEndHoldsSmallWritesBack() throws Exception {
    Vertx vertx = VertxTransport.vertx();
    try {
      VertxTransport transport = new VertxTransport(vertx);
      Promise<Connection> came = Promise.promise();
      int port = done(transport.listen(new Address(HERE, 0), came::tryComplete));
      Connection dialled = done(transport.dial(new Address(HERE, port), Duration.ofSeconds(5)));
      for (Connection end : List.of(dialled, done(came.future()))) {
        assertTrue(
            ((VertxTransport.VertxConnection) end)
                .channel()
                .config()
                .getOption(ChannelOption.TCP_NODELAY));
      }
    } finally {
      done(vertx.close());
    }
  }

  private static <T> T done(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }
}
