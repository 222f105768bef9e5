package pathgw.config;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** The configuration that tests start from and edit. */
public final class TestConfig {
  private TestConfig() {}

  /** The example configuration, as JSON, with a discovery port where nothing listens. */
  public static String json() {
    try (InputStream in = TestConfig.class.getResourceAsStream("/pathgw/example-config.json")) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8).replace("DISCOVERY", "1");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
