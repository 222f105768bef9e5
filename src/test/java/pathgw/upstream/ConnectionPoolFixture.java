package pathgw.upstream;

import io.vertx.core.Future;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;
import pathgw.codec.MalformedCommandException;
import pathgw.codec.MetaCodec;
import pathgw.codec.MetaCommand;
import pathgw.codec.UpstreamCodec;
import pathgw.config.Address;
import pathgw.fixture.NetworkFixture;
import pathgw.transport.Connection;
import pathgw.transport.FakeConnection;

/** Creates connection pools for one endpoint and attempts whose ends are recorded. */
abstract class ConnectionPoolFixture extends NetworkFixture {
  private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(11);

  /** The end of each attempt, followed by its response if there is one. */
  protected final List<String> ends = new ArrayList<>();

  protected Attempt attempt() throws MalformedCommandException {
    return attempt(READ);
  }

  protected Attempt attempt(String line) throws MalformedCommandException {
    MetaCommand metaCommand = command(line, line.startsWith("ms") ? "v" : "");
    return new Attempt(
        timers,
        metaCommand,
        Duration.ofMillis(400),
        Duration.ofMillis(60),
        () -> {},
        (end, response) -> ends.add(end + (response == null ? "" : " " + response)));
  }

  protected ConnectionPool pool(int maxConnections) {
    return pool(new ConnectionLimit(maxConnections), MetaCodec::new);
  }

  protected ConnectionPool pool(ConnectionLimit limit, Supplier<UpstreamCodec> codecFactory) {
    return new ConnectionPool(
        this::dial,
        codecFactory,
        timers,
        limit,
        TEST_ADDRESS,
        MAX_IDLE_TIME,
        memory,
        () -> Integer.MAX_VALUE,
        reason -> {});
  }

  protected ConnectionPool pool(
      Function<Address, Future<Connection>> connector, ConnectionLimit limit) {
    return new ConnectionPool(
        connector,
        MetaCodec::new,
        timers,
        limit,
        TEST_ADDRESS,
        MAX_IDLE_TIME,
        memory,
        () -> Integer.MAX_VALUE,
        reason -> {});
  }

  protected FakeConnection sendOnNewPool() throws MalformedCommandException {
    pool(1).send(attempt());
    return dialled.get(0);
  }

  /** Sends an attempt on a connection whose bytes never reach the network. */
  protected FakeConnection sendWithoutWriting() throws MalformedCommandException {
    Future<Connection> connection = dial(TEST_ADDRESS);
    dialled.get(0).completesWrites = false;
    pool(address -> connection, new ConnectionLimit(1)).send(attempt());
    return dialled.get(0);
  }
}
