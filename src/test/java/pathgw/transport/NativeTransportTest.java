package pathgw.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import io.vertx.core.Vertx;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that the native transport is there for each processor that it has to be there for. */
class NativeTransportTest {
  private static final Set<String> PROCESSORS = Set.of("amd64", "x86_64", "aarch64");

  @Test
  void nativeTransportIsUsedOnLinuxOnBothProcessors() throws Exception {
    Vertx vertx = VertxTransport.vertx();
    try {
      VertxTransport transport = new VertxTransport(vertx);
      boolean expected =
          System.getProperty("os.name").equals("Linux")
              && PROCESSORS.contains(System.getProperty("os.arch"));
      assertEquals(
          expected ? TransportKind.EPOLL : TransportKind.PORTABLE,
          transport.kind(),
          transport.description());
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"x86_64", "aarch_64"})
  void libraryOfEachProcessorIsADependency(String processor) {
    String library = "META-INF/native/libnetty_transport_native_epoll_" + processor + ".so";
    assertNotNull(getClass().getClassLoader().getResource(library));
  }
}
