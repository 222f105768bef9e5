package pathgw.config;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** Provides the configuration that tests start from and edit. */
public final class TestConfig {
  private TestConfig() {}

  /** Returns the example configuration as JSON, with a discovery port on which nothing listens. */
  public static String json() {
    try (InputStream in = TestConfig.class.getResourceAsStream("/pathgw/example-config.json")) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8).replace("DISCOVERY", "1");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
