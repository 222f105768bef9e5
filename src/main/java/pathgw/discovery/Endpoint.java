package pathgw.discovery;

import pathgw.codec.MetaCommand;
import pathgw.config.Address;
import pathgw.config.Config;
import pathgw.config.InvalidInputException;
import pathgw.config.Json;
import pathgw.decision.EndpointState;

/** One entry of the endpoint list. */
public record Endpoint(
    String host, Address dial, EndpointState state, long startedMs, int kind, int zone, int cell) {
  private static final String ORIGIN = "origin";

  static Endpoint read(Json list, String at, Config config) {
    // Looked up once an entry: by its whole path for each of eight fields, a thousand took 19 ms.
    Json entry = list.object(at);
    EndpointState state =
        switch (entry.word("health")) {
          case "ready" -> EndpointState.READY;
          case "draining" -> EndpointState.DRAINING;
          case "gone" -> EndpointState.GONE;
          default -> throw new InvalidInputException("'" + at + ".health' is not a known state");
        };
    String kind = entry.word("class");
    int number = config.kinds().indexOf(kind);
    return new Endpoint(
        entry.word("host"),
        entry.address("dial"),
        state,
        (long) entry.number("born_ms"),
        number < 0 && kind.equals(ORIGIN) ? config.settings().originKind() : number,
        config.zones().indexOf(entry.word("site")),
        (int) entry.number("block"));
  }

  public long id() {
    return MetaCommand.hash(host);
  }
}
