package pathgw.server;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The signal that asks for the configuration to be read again. */
class SighupHandlerTest {
  @Test
  void aHangupEndsNoProcess() throws ReflectiveOperationException, InterruptedException {
    CountDownLatch heard = new CountDownLatch(1);
    SighupHandler.handle(heard::countDown);
    Class<?> signal = Class.forName("sun.misc.Signal");
    signal
        .getMethod("raise", signal)
        .invoke(null, signal.getConstructor(String.class).newInstance("HUP"));
    assertTrue(heard.await(5, TimeUnit.SECONDS));
  }
}
