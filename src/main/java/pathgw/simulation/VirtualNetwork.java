package pathgw.simulation;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import java.net.ConnectException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.BiConsumer;
import pathgw.config.Address;
import pathgw.transport.Transport;

/** The network between the processes of one run. */
final class VirtualNetwork {
  private static final long LATENCY = 100_000;
  private static final int FIRST_PORT = 30_000;

  /** What takes the connections to an address; false turns one away. */
  interface Door {
    boolean open(VirtualConnection end);
  }

  private record Listener(VirtualProcess owner, Door door) {}

  private record Ear(VirtualProcess owner, BiConsumer<Buffer, Address> heard) {}

  private final EventQueue events;
  private final Random chance;
  private final BiConsumer<VirtualProcess, Buffer> seen;
  private final Map<Address, Listener> listeners = new LinkedHashMap<>();
  private final Map<Address, Ear> ears = new LinkedHashMap<>();
  private final Map<VirtualProcess, Long> lateConnects = new LinkedHashMap<>();
  private final Map<VirtualProcess, Double> cuts = new LinkedHashMap<>();
  private int port = FIRST_PORT;
  private double lostDatagrams;
  private long lateDatagrams;

  /**
   * @param seen hears of all bytes as they arrive, for the digest
   */
  VirtualNetwork(EventQueue events, Random chance, BiConsumer<VirtualProcess, Buffer> seen) {
    this.events = events;
    this.chance = chance;
    this.seen = seen;
  }

  /**
   * @param share of the writes to a process that are cut before their last byte; the connection is
   *     reset
   */
  void cutsBefore(VirtualProcess to, double share) {
    cuts.put(to, share);
  }

  /**
   * @param late up to so much longer a connection to a process takes, in nanoseconds
   */
  void connectsLate(VirtualProcess to, long late) {
    lateConnects.put(to, late);
  }

  boolean cutsBefore(VirtualProcess to) {
    double share = cuts.isEmpty() ? 0 : cuts.getOrDefault(to, 0.0);
    return share > 0 && chance.nextDouble() < share;
  }

  /** Where a piece of so many bytes is cut in two; 0 for not at all. */
  int cutsAt(int length) {
    return length > 1 && chance.nextInt(16) == 0 ? 1 + chance.nextInt(length - 1) : 0;
  }

  long now() {
    return events.now();
  }

  long arrival() {
    return events.now()
        + LATENCY
        + (long) (LATENCY * chance.nextDouble())
        + (chance.nextInt(64) == 0 ? chance.nextInt(2_000_000) : 0);
  }

  void at(long at, VirtualProcess owner, Runnable what) {
    events.at(at, owner, what);
  }

  void soon(VirtualProcess owner, Runnable what) {
    events.at(events.now(), owner, what);
  }

  void seen(VirtualProcess owner, Buffer bytes) {
    seen.accept(owner, bytes);
  }

  void listen(Address at, VirtualProcess owner, Door door) {
    listeners.put(at, new Listener(owner, door));
  }

  /** New connections are refused there; open ones stay. */
  void deaf(Address at) {
    listeners.remove(at);
  }

  Future<VirtualConnection> dial(VirtualProcess from, String host, Address to, long within) {
    Promise<VirtualConnection> up = Promise.promise();
    EventQueue.Event tooLong =
        events.in(
            within,
            from,
            () -> up.tryFail(new Transport.ConnectTimeoutException("no answer from " + to)));
    events.at(
        arrival(),
        null,
        () -> {
          Listener there = listeners.get(to);
          if (from.dead() || from.cutOff() || (there != null && there.owner.cutOff())) {
            return;
          }
          VirtualConnection near = new VirtualConnection(this, from, new Address(host, port++), to);
          VirtualProcess owner = there == null ? from : there.owner;
          VirtualConnection far = new VirtualConnection(this, owner, to, near.localAddress());
          VirtualConnection.join(near, far);
          if (there == null || there.owner.dead() || !there.door.open(far)) {
            from.connections.remove(near);
            owner.connections.remove(far);
            events.at(
                arrival(),
                from,
                () -> {
                  tooLong.cancel();
                  up.tryFail(new ConnectException("refused by " + to));
                });
            return;
          }
          long late = (long) (lateConnects.getOrDefault(owner, 0L) * chance.nextDouble());
          long upAt = arrival() + late;
          far.nothingArrivesBefore(upAt);
          events.at(
              upAt,
              from,
              () -> {
                tooLong.cancel();
                // It came up after it was given up: whoever asked for it never hears of it.
                if (!up.tryComplete(near)) {
                  near.close();
                }
              });
        });
    return up.future();
  }

  void datagrams(double lost, long late) {
    lostDatagrams = lost;
    lateDatagrams = late;
  }

  void hear(Address at, VirtualProcess owner, BiConsumer<Buffer, Address> heard) {
    ears.put(at, new Ear(owner, heard));
  }

  /**
   * @param to one proxy, or {@code all} but the sender
   */
  void send(Address from, Buffer bytes, Address to, Address all) {
    ears.forEach(
        (at, ear) -> {
          boolean meant = to.equals(all) ? !at.equals(from) : at.equals(to);
          if (meant
              && !ear.owner.dead()
              && (lostDatagrams == 0 || chance.nextDouble() >= lostDatagrams)) {
            Buffer copy = bytes.copy();
            long late = (long) (lateDatagrams * chance.nextDouble());
            events.at(
                arrival() + late,
                ear.owner,
                () -> {
                  seen.accept(ear.owner, copy);
                  ear.heard.accept(copy, from);
                });
          }
        });
  }
}
