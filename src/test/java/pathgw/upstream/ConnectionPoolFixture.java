package pathgw.upstream;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import pathgw.codec.MetaCodec;
import pathgw.codec.MetaCommand;
import pathgw.codec.UpstreamCodec;
import pathgw.fixture.NetworkFixture;
import pathgw.transport.FakeConnection;

/** Connection pools to one endpoint and attempts whose ends are recorded. */
abstract class ConnectionPoolFixture extends NetworkFixture {
  protected Attempt attempt() throws MetaCommand.Malformed {
    return attempt(READ);
  }

  protected Attempt attempt(String line) throws MetaCommand.Malformed {
    MetaCommand metaCommand = command(line).with(Buffer.buffer(line.startsWith("ms") ? "v" : ""));
    return new Attempt(
        timers,
        metaCommand,
        Duration.ofMillis(400),
        Duration.ofMillis(60),
        (end, response) -> ends.add(end + (response == null ? "" : " " + response)));
  }

  protected ConnectionPool pool(int maxConnections) {
    return pool(new ConnectionLimit(maxConnections), MetaCodec::new);
  }

  protected ConnectionPool pool(ConnectionLimit limit, Supplier<UpstreamCodec> codecs) {
    return new ConnectionPool(this::dial, codecs, timers, limit, ANYWHERE, Duration.ofSeconds(11));
  }

  protected FakeConnection sendOnNewPool() throws MetaCommand.Malformed {
    pool(1).send(attempt());
    return dialled.get(0);
  }

  /** The end of each attempt, followed by its response if there is one. */
  protected final List<String> ends = new ArrayList<>();
}
