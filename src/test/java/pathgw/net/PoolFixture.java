package pathgw.net;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/** Attempts on a pool of connections, whose ends are kept as words. */
abstract class PoolFixture extends NetworkFixture {
  protected Passage passage() throws Command.Malformed {
    return passage(READ);
  }

  protected Passage passage(String line) throws Command.Malformed {
    Command asked = command(line).with(Buffer.buffer(line.startsWith("ms") ? "v" : ""));
    return new Passage(
        agenda,
        asked,
        Duration.ofMillis(400),
        Duration.ofMillis(60),
        (end, answer) -> ends.add(end + (answer == null ? "" : " " + answer)));
  }

  protected NodeLink link(int sockets) {
    return link(new Sockets(sockets), MetaWire::new);
  }

  protected NodeLink link(Sockets sockets, Supplier<Wire> wires) {
    return new NodeLink(this::dial, wires, agenda, sockets, ANYWHERE, Duration.ofSeconds(11));
  }

  protected FakeConnection sent() throws Command.Malformed {
    link(1).send(passage());
    return dialled.get(0);
  }

  protected final List<String> ends = new ArrayList<>();
}
