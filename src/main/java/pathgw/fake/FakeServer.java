package pathgw.fake;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Random;

/**
 * What a cache node and the origin share: connections with answers in their order, workers,
 * mischief.
 */
abstract class FakeServer {
  final String name;
  final Clock clock;
  final Random chance;
  final BackendObserver observer;
  final FaultInjection faults;
  private final int mostConnections;
  private final Duration idle;
  private int connections;

  FakeServer(
      String name,
      Clock clock,
      Random chance,
      BackendObserver observer,
      FaultInjection faults,
      int mostConnections,
      Duration idle) {
    this.name = name;
    this.clock = clock;
    this.chance = chance;
    this.observer = observer;
    this.faults = faults;
    this.mostConnections = mostConnections;
    this.idle = idle;
  }

  /** What a request is owed on its connection; given once. */
  public static final class Reply {
    private final Conversation on;
    private Buffer answer;
    private boolean ready;
    private boolean last;

    private Reply(Conversation on) {
      this.on = on;
    }

    /**
     * Gives the answer.
     *
     * @param answer the whole answer; null leaves the request without one
     */
    void give(Buffer answer) {
      this.answer = answer;
      ready = true;
      on.flush();
    }

    /** An answer that says nothing of its length: the end of its connection is its own. */
    void giveLast(Buffer answer) {
      last = true;
      give(answer);
    }

    String from() {
      return on.from;
    }
  }

  /**
   * Takes a connection.
   *
   * @return what it makes of the connection, or null where it takes no more
   */
  public final ConnectionHandler accept(String from, ConnectionSide side) {
    return connections >= mostConnections ? null : new Conversation(from, side);
  }

  public final int connections() {
    return connections;
  }

  abstract RequestReader reader(Conversation talk);

  abstract void serve(Request request, Reply reply);

  abstract Buffer turnedAway(Request request);

  abstract Buffer failed(Request request);

  /** Whether this place turns everything away. */
  abstract boolean refuses();

  /** What cannot be told from an answer until it is read closely. */
  abstract Buffer spoilt(Buffer answer, int form);

  private boolean happens(double share) {
    return share > 0 && chance.nextDouble() < share;
  }

  final void turnAway(Request request, Reply reply) {
    observer.turnedAway(name, request);
    reply.give(turnedAway(request));
  }

  /** One connection and the answers that are owed on it, in order. */
  final class Conversation implements ConnectionHandler {
    private final String from;
    private final ConnectionSide side;
    private final RequestReader requests = reader(this);
    private final ArrayDeque<Reply> owed = new ArrayDeque<>();
    private Duration usedAt = clock.now();
    private boolean over;

    private Conversation(String from, ConnectionSide side) {
      this.from = from;
      this.side = side;
      connections++;
      closeIfIdle();
    }

    private void closeIfIdle() {
      Duration left = usedAt.plus(idle).minus(clock.now());
      if (over) {
        return;
      } else if (owed.isEmpty() && left.toNanos() <= 0) {
        side.close();
        over();
      } else {
        clock.in(left.toNanos() > 0 ? left : idle, this::closeIfIdle);
      }
    }

    @Override
    public void came(Buffer bytes) {
      if (!over) {
        requests.take(bytes);
      }
    }

    void unreadable() {
      side.close();
      over();
    }

    void take(Request request) {
      usedAt = clock.now();
      if (happens(faults.closes)) {
        observer.turnedAway(name, request);
        side.close();
        over();
        return;
      }
      boolean resets = happens(faults.resets);
      if (resets && chance.nextBoolean()) {
        side.reset();
        over();
        return;
      }
      Reply reply = new Reply(this);
      owed.add(reply);
      if (refuses() || happens(faults.busy)) {
        turnAway(request, reply);
      } else {
        serve(request, reply);
      }
      if (resets) {
        clock.in(
            Duration.ofMillis(chance.nextInt(30)),
            () -> {
              side.reset();
              over();
            });
      }
    }

    private void flush() {
      while (!over && !owed.isEmpty() && owed.peek().ready) {
        Reply reply = owed.poll();
        Buffer answer = reply.answer;
        if (answer == null) {
          // Left in the middle of nothing: what else waits on this connection waits in vain.
          return;
        }
        usedAt = clock.now();
        if (reply.last) {
          end(answer);
        } else if (happens(faults.spoils)) {
          side.write(spoilt(answer, chance.nextInt(6)));
        } else if (happens(faults.extra) && owed.isEmpty()) {
          side.write(
              answer
                  .copy()
                  .appendBuffer(chance.nextBoolean() ? answer : Buffer.buffer("what is this\r\n")));
        } else {
          side.write(answer);
        }
      }
    }

    private void end(Buffer answer) {
      if (happens(faults.resets)) {
        side.write(answer.slice(0, answer.length() - 3));
        clock.in(Duration.ofMillis(5), side::reset);
      } else {
        side.write(answer);
        side.close();
      }
      over();
    }

    @Override
    public void over() {
      if (!over) {
        over = true;
        connections--;
      }
    }
  }
}
