package pathgw.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongFunction;
import org.junit.jupiter.api.Test;
import pathgw.config.Address;
import pathgw.simulation.cluster.Mutation;
import pathgw.simulation.scenario.Fault;
import pathgw.simulation.scenario.Scenario;
import pathgw.simulation.scenario.ScenarioGenerator;
import pathgw.transport.Connection;
import pathgw.transport.Transport;

/**
 * Breaches planted into an honest proxy: each is found by the seeds, and shrunk to what a person
 * can read.
 */
class SeededBugTest {
  private static final int MOST_SEEDS = 1000;
  private static final int MOST_LINES = 12;

  private static Mutation dialled(
      BiFunction<MutatedTransport, Connection, Connection> to, Function<Address, Boolean> which) {
    return new Mutation() {
      @Override
      public Transport transport(Transport honest, int proxy) {
        return new MutatedTransport(honest) {
          @Override
          Connection dialled(Connection connection, Address address) {
            return which.apply(address) ? to.apply(this, connection) : connection;
          }
        };
      }
    };
  }

  private static Mutation arrived(BiFunction<MutatedTransport, Connection, Connection> to) {
    return new Mutation() {
      @Override
      public Transport transport(Transport honest, int proxy) {
        return new MutatedTransport(honest) {
          @Override
          Connection arrived(Connection connection) {
            return fromClients(connection) ? to.apply(this, connection) : connection;
          }
        };
      }
    };
  }

  private static void found(int rule, String kind, Mutation mutation) {
    found(rule, kind, mutation, 0);
  }

  private static void found(int rule, String kind, Mutation mutation, long from) {
    found(rule, kind, mutation, from, ScenarioGenerator::scenario);
  }

  private static void found(
      int rule, String kind, Mutation mutation, long from, LongFunction<Scenario> draw) {
    RunResult failed = null;
    long seed = from;
    while (failed == null && seed < MOST_SEEDS) {
      RunResult o = ScenarioRun.play(draw.apply(seed++), mutation, null);
      failed = o.violation() == null ? null : o;
    }
    assertNotNull(failed, "not found in " + MOST_SEEDS + " seeds");
    assertEquals(
        rule + " " + kind,
        failed.violation().rule() + " " + failed.violation().kind(),
        failed.violation().toString());
    String shrunk = ScenarioShrinker.shrink(failed, mutation).toString();
    System.out.println(
        "planted " + kind + ": seed " + (seed - 1) + ", " + shrunk.lines().count() + " lines");
    assertTrue(shrunk.lines().count() <= MOST_LINES, shrunk);
    RunResult again = ScenarioRun.play(Scenario.parse(shrunk), mutation, null);
    assertTrue(
        failed.violation().isSameKindAs(again.violation()), "the script replays it: " + shrunk);
    assertEquals(
        null,
        ScenarioRun.play(Scenario.parse(shrunk), Mutation.NONE, null).violation(),
        "without it all is kept");
  }

  @Test
  void aDrainingToldLateToTheModule() {
    found(
        3,
        "drain",
        dialled(
            (world, connection) ->
                new MutatedTransport.Through(connection) {
                  @Override
                  public void onData(Consumer<Buffer> came) {
                    honest.onData(
                        bytes -> world.after(Duration.ofMillis(1200), () -> came.accept(bytes)));
                  }
                },
            MutatedTransport::toList));
  }

  /** Empty lines of its own making keep a proxy from seeing that its watch has fallen silent. */
  @Test
  void aSilentWatchTakenForAnOpenOne() {
    Mutation deaf =
        dialled(
            (world, connection) ->
                new MutatedTransport.Through(connection) {
                  @Override
                  public void onData(Consumer<Buffer> came) {
                    honest.onData(came);
                    again(() -> came.accept(Buffer.buffer("1\r\n\n\r\n")));
                  }

                  private void again(Runnable line) {
                    world.after(
                        Duration.ofSeconds(2),
                        () -> {
                          line.run();
                          again(line);
                        });
                  }
                },
            MutatedTransport::toList);
    found(
        3,
        "drain",
        deaf,
        0,
        seed -> {
          Scenario drawn = ScenarioGenerator.scenario(seed);
          List<Fault> faults = new ArrayList<>(drawn.faults());
          faults.add(new Fault(2000, 0, Fault.Kind.LIST_SILENT, -1, 1));
          faults.add(new Fault(4000, 0, Fault.Kind.DRAINS, (int) seed, 0));
          return drawn.withFaults(faults);
        });
  }

  /** A call that is turned away is taken for a list in which nothing has changed. */
  private static Mutation believesRefusals() {
    return dialled(
        (world, connection) ->
            new MutatedTransport.Through(connection) {
              @Override
              public void onData(Consumer<Buffer> came) {
                String nothing = "{\"seq\":0,\"whole\":false,\"hosts\":[]}\n";
                honest.onData(
                    bytes ->
                        came.accept(
                            !bytes.toString().startsWith("HTTP/1.1 503")
                                ? bytes
                                : Buffer.buffer(
                                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                        + Integer.toHexString(nothing.length())
                                        + "\r\n"
                                        + nothing
                                        + "\r\n")));
              }
            },
        MutatedTransport::toList);
  }

  /**
   * All watches silent, and a service short of turns: whom it sends away must not go on as if told.
   */
  @Test
  void beingTurnedAwayTakenForBeingTold() {
    found(
        3,
        "drain",
        believesRefusals(),
        1,
        seed ->
            Scenario.parse(
                "seed "
                    + seed
                    + "\nproxies 20\nnodes 8\nrate 100/s\ncalls 2/s\nlasts 16000ms\n"
                    + "at 9000ms list-silent by 1\nat 9600ms list-drains by 0.25"));
  }

  @Test
  void aAttemptToAGoneNode() {
    found(
        3,
        "drain",
        dialled(
            (world, connection) ->
                new MutatedTransport.Through(connection) {
                  @Override
                  public void onData(Consumer<Buffer> came) {
                    honest.onData(
                        bytes -> {
                          if (!bytes.toString().contains("\"gone\"")) {
                            came.accept(bytes);
                          }
                        });
                  }
                },
            MutatedTransport::toList));
  }

  /**
   * Sends what was out on a connection that broke once more, to the same place and after a while.
   */
  private static Mutation resends(String requestClass, Duration after) {
    return dialled(
        (world, connection) ->
            new MutatedTransport.Through(connection) {
              private Buffer out;

              @Override
              public Future<Void> write(Buffer bytes) {
                out = bytes.copy();
                return honest.write(bytes);
              }

              @Override
              public void onData(Consumer<Buffer> came) {
                honest.onData(
                    bytes -> {
                      out = null;
                      came.accept(bytes);
                    });
              }

              @Override
              public void onClose(Consumer<CloseReason> over) {
                honest.onClose(
                    how -> {
                      Buffer lost = out;
                      if (lost != null && lost.toString().contains("c=" + requestClass)) {
                        world.after(
                            after,
                            () ->
                                world
                                    .honest
                                    .dial(connection.remoteAddress(), Duration.ofMillis(75))
                                    .onSuccess(other -> other.write(lost)));
                      }
                      over.accept(how);
                    });
              }
            },
        MutatedTransport::toNodes);
  }

  @Test
  void anAtMostOnceRequestSentAgainThoughItMayHaveRun() {
    found(2, "resend", resends("book", Duration.ofMillis(1)));
  }

  @Test
  void aMarkedRepeatPastItsMemory() {
    found(2, "resend", resends("hold", Duration.ofMillis(1050)));
  }

  @Test
  void twoAnswers() {
    found(
        1,
        "two-answers",
        arrived(
            (world, connection) ->
                new MutatedTransport.Through(connection) {
                  private int count;

                  @Override
                  public Future<Void> write(Buffer bytes) {
                    return ++count % 5 == 0
                        ? honest.write(bytes.copy().appendBuffer(bytes))
                        : honest.write(bytes);
                  }
                }));
  }

  @Test
  void noAnswer() {
    found(
        1,
        "no-answer",
        arrived(
            (world, connection) ->
                new MutatedTransport.Through(connection) {
                  @Override
                  public Future<Void> write(Buffer bytes) {
                    return bytes.toString().startsWith("SERVER_ERROR failed")
                        ? Future.succeededFuture()
                        : honest.write(bytes);
                  }
                }));
  }

  @Test
  void anothersValue() {
    Buffer[] last = {null};
    found(
        1,
        "another's",
        arrived(
            (world, connection) ->
                new MutatedTransport.Through(connection) {
                  private int count;

                  @Override
                  public Future<Void> write(Buffer bytes) {
                    String text = bytes.toString();
                    if (!text.startsWith("VA ") || text.indexOf("VA ", 3) > 0) {
                      return honest.write(bytes);
                    }
                    Buffer value = bytes.slice(text.indexOf('\n') + 1, bytes.length());
                    Buffer other = last[0] == null ? value : last[0];
                    last[0] = value.copy();
                    String head =
                        "VA "
                            + (other.length() - 2)
                            + text.substring(text.indexOf(' ', 3), text.indexOf('\n') + 1);
                    return ++count % 3 == 0
                        ? honest.write(Buffer.buffer(head).appendBuffer(other))
                        : honest.write(bytes);
                  }
                }));
  }

  @Test
  void coldNodesPushedOverByAllTogether() {
    // From the first seed on it takes 614 to find it, longer than a build should.
    found(
        4,
        "cold",
        new Mutation() {
          @Override
          public String config(String honest) {
            return honest
                .replace("\"coldFrom\":0.300000", "\"coldFrom\":1.0")
                .replaceAll("\"coldNs\":\\d+", "\"coldNs\":1")
                .replaceAll("\"instances\":\\d+", "\"instances\":1");
          }
        },
        600);
  }

  /** In every answer that ends with its connection the reset of some is no end. */
  @Test
  void aResetTakenForAnEnd() {
    found(
        1,
        "another's",
        dialled(
            (world, connection) ->
                new MutatedTransport.Through(connection) {
                  @Override
                  public void onClose(Consumer<CloseReason> over) {
                    honest.onClose(how -> over.accept(CloseReason.END_OF_STREAM));
                  }
                },
            MutatedTransport::toNodes));
  }

  /** Seen so late, it goes on being asked for: what failed is handed on again. */
  @Test
  void aClientThatHasGoneAndIsNotSeenToHave() {
    found(
        1,
        "after",
        arrived(
            (world, connection) ->
                new MutatedTransport.Through(connection) {
                  @Override
                  public void onClose(Consumer<CloseReason> over) {
                    honest.onClose(
                        how -> world.after(Duration.ofMillis(600), () -> over.accept(how)));
                  }
                }));
  }

  @Test
  void moreConnectionsThanThereAreDescriptors() {
    found(
        5,
        "descriptors",
        new Mutation() {
          @Override
          public String config(String honest) {
            return honest.replaceAll("\"sockets\":\\d+", "\"sockets\":4096");
          }
        });
  }

  /** A failed call taken for an answer: the list holds for as long as the service is only asked. */
  @Test
  void aFailedCallTakenForNews() {
    found(
        3,
        "drain",
        believesRefusals(),
        1,
        seed ->
            Scenario.parse(
                "seed "
                    + seed
                    + "\nproxies 3\nnodes 8\nrate 60/s\nlasts 16000ms\nat 3000ms for 9000ms list-refuses by 1"
                    + "\nat 3100ms list-ends\nat 3300ms list-drains by 0.25"));
  }

  @Test
  void aConnectionThatIsNeverGivenBack() {
    found(
        5,
        "leak",
        arrived(
            (world, connection) ->
                new MutatedTransport.Through(connection) {
                  @Override
                  public void onClose(Consumer<CloseReason> over) {
                    // Nobody hears of it.
                  }
                }));
  }

  @Test
  void aDenialHeldBack() {
    found(
        1,
        "held-back",
        arrived(
            (world, connection) ->
                new MutatedTransport.Through(connection) {
                  @Override
                  public Future<Void> write(Buffer bytes) {
                    if (!bytes.toString().startsWith("SERVER_ERROR busy")) {
                      return honest.write(bytes);
                    }
                    world.after(Duration.ofMillis(100), () -> honest.write(bytes));
                    return Future.succeededFuture();
                  }
                }));
  }

  @Test
  void aFaultInAHandler() {
    found(
        5,
        "fault",
        arrived(
            (world, connection) ->
                new MutatedTransport.Through(connection) {
                  @Override
                  public void onData(Consumer<Buffer> came) {
                    honest.onData(
                        bytes -> {
                          if (bytes.toString().contains("c=book")) {
                            throw new IllegalStateException("planted");
                          }
                          came.accept(bytes);
                        });
                  }
                }));
  }

  /**
   * As the labels came, the time in them is the client's first figure, whatever has passed since.
   */
  @Test
  void attemptsAtTheOriginThatTellTheClientsFirstFigure() {
    found(
        1,
        "time-told",
        dialled(
            (world, connection) ->
                new MutatedTransport.Through(connection) {
                  @Override
                  public Future<Void> write(Buffer bytes) {
                    return honest.write(
                        Buffer.buffer(bytes.toString().replaceFirst("d=\\d+", "d=600")));
                  }
                },
            MutatedTransport::toOrigin));
  }
}
