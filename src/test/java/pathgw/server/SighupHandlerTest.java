package pathgw.server;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests the handler of the signal that requests a reload of the configuration. */
class SighupHandlerTest {
  @Test
  void hangupRunsActionAndDoesNotEndProcess()
      throws ReflectiveOperationException, InterruptedException {
    CountDownLatch handled = new CountDownLatch(1);
    SighupHandler.handle(handled::countDown);
    Class<?> signal = Class.forName("sun.misc.Signal");
    signal
        .getMethod("raise", signal)
        .invoke(null, signal.getConstructor(String.class).newInstance("HUP"));
    assertTrue(handled.await(5, TimeUnit.SECONDS));
  }
}
