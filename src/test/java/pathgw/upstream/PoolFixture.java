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

/** Attempts on a pool of connections, whose ends are kept as words. */
abstract class PoolFixture extends NetworkFixture {
  protected Attempt attempt() throws MetaCommand.Malformed {
    return attempt(READ);
  }

  protected Attempt attempt(String line) throws MetaCommand.Malformed {
    MetaCommand asked = command(line).with(Buffer.buffer(line.startsWith("ms") ? "v" : ""));
    return new Attempt(
        timers,
        asked,
        Duration.ofMillis(400),
        Duration.ofMillis(60),
        (end, answer) -> ends.add(end + (answer == null ? "" : " " + answer)));
  }

  protected ConnectionPool link(int sockets) {
    return link(new ConnectionLimit(sockets), MetaCodec::new);
  }

  protected ConnectionPool link(ConnectionLimit sockets, Supplier<UpstreamCodec> codecs) {
    return new ConnectionPool(
        this::dial, codecs, timers, sockets, ANYWHERE, Duration.ofSeconds(11));
  }

  protected FakeConnection sent() throws MetaCommand.Malformed {
    link(1).send(attempt());
    return dialled.get(0);
  }

  protected final List<String> ends = new ArrayList<>();
}
