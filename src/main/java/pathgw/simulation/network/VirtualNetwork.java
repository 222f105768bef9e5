package pathgw.simulation.network;

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

/**
 * The network between the processes of one run: connections, datagrams, delays and network faults.
 *
 * <p>All random draws happen in a fixed order, so that a seed always gives the same run.
 */
public final class VirtualNetwork {
  private static final long LATENCY_NANOS = 100_000;

  /** On average one of this many pieces is delayed by up to {@link #MAX_SPIKE_NANOS} more. */
  private static final int PIECES_PER_SPIKE = 64;

  private static final int MAX_SPIKE_NANOS = 2_000_000;

  /** On average one of this many writes arrives in two pieces. */
  private static final int WRITES_PER_SPLIT = 16;

  private static final int FIRST_CLIENT_PORT = 30_000;

  /** Accepts the connections to an address. */
  public interface Acceptor {
    /** Receives the accepting end of a new connection; returns false to refuse it. */
    boolean accept(VirtualConnection connection);
  }

  private record Listener(VirtualProcess owner, Acceptor acceptor) {}

  private record DatagramReceiver(VirtualProcess owner, BiConsumer<Buffer, Address> handler) {}

  private final EventQueue events;
  private final Random random;
  private final BiConsumer<VirtualProcess, Buffer> arrivalObserver;
  private final Map<Address, Listener> listeners = new LinkedHashMap<>();
  private final Map<Address, DatagramReceiver> datagramReceivers = new LinkedHashMap<>();
  private final Map<VirtualProcess, Long> maxConnectDelaysNanos = new LinkedHashMap<>();
  private final Map<VirtualProcess, Double> resetShares = new LinkedHashMap<>();
  private int nextClientPort = FIRST_CLIENT_PORT;
  private double datagramLossShare;
  private long maxDatagramDelayNanos;

  /**
   * Creates a network without faults.
   *
   * @param arrivalObserver receives all bytes when they arrive, for the digest of the run
   */
  public VirtualNetwork(
      EventQueue events, Random random, BiConsumer<VirtualProcess, Buffer> arrivalObserver) {
    this.events = events;
    this.random = random;
    this.arrivalObserver = arrivalObserver;
  }

  /**
   * Sets the share of writes to a process during which the connection is reset, before the last
   * byte.
   */
  public void setResetShare(VirtualProcess target, double share) {
    resetShares.put(target, share);
  }

  /** Sets the longest additional delay of new connections to a process, in nanoseconds. */
  public void setMaxConnectDelay(VirtualProcess target, long delayNanos) {
    maxConnectDelaysNanos.put(target, delayNanos);
  }

  /**
   * Sets the share of datagrams that are lost, and the longest additional delay of the others in
   * nanoseconds.
   */
  public void setDatagramFaults(double lossShare, long maxDelayNanos) {
    datagramLossShare = lossShare;
    maxDatagramDelayNanos = maxDelayNanos;
  }

  boolean resetsDuringWriteTo(VirtualProcess target) {
    double share = resetShares.isEmpty() ? 0 : resetShares.getOrDefault(target, 0.0);
    return share > 0 && random.nextDouble() < share;
  }

  /** Draws the position at which a write of this length is split in two; 0 if it is not split. */
  int splitPosition(int length) {
    return length > 1 && random.nextInt(WRITES_PER_SPLIT) == 0 ? 1 + random.nextInt(length - 1) : 0;
  }

  long now() {
    return events.now();
  }

  /** Draws the arrival time of a message that is sent now. */
  long arrivalNanos() {
    return events.now()
        + LATENCY_NANOS
        + (long) (LATENCY_NANOS * random.nextDouble())
        + (random.nextInt(PIECES_PER_SPIKE) == 0 ? random.nextInt(MAX_SPIKE_NANOS) : 0);
  }

  void runAt(long atNanos, VirtualProcess owner, Runnable action) {
    events.scheduleAtNanos(atNanos, owner, action);
  }

  /** Runs an action in a process at the current time, after all events that are already due. */
  public void runAfterDueEvents(VirtualProcess owner, Runnable action) {
    events.scheduleAtNanos(events.now(), owner, action);
  }

  void observeArrival(VirtualProcess owner, Buffer bytes) {
    arrivalObserver.accept(owner, bytes);
  }

  /** Starts to accept connections to an address. */
  public void listen(Address address, VirtualProcess owner, Acceptor acceptor) {
    listeners.put(address, new Listener(owner, acceptor));
  }

  /** Refuses new connections to an address from now on; open connections stay open. */
  public void stopListening(Address address) {
    listeners.remove(address);
  }

  /**
   * Opens a connection.
   *
   * @param localHost the client's host, as the accepting side sees it
   * @return the connection; fails if it is refused or not established within the timeout
   */
  public Future<VirtualConnection> connect(
      VirtualProcess client, String localHost, Address target, long timeoutNanos) {
    Promise<VirtualConnection> promise = Promise.promise();
    EventQueue.Event timeout =
        events.scheduleInNanos(
            timeoutNanos,
            client,
            () ->
                promise.tryFail(
                    new Transport.ConnectTimeoutException("connect timed out: " + target)));
    ConnectAttempt attempt = new ConnectAttempt(client, localHost, target, promise, timeout);
    events.scheduleAtNanos(arrivalNanos(), null, () -> deliverConnectAttempt(attempt));
    return promise.future();
  }

  private record ConnectAttempt(
      VirtualProcess client,
      String localHost,
      Address target,
      Promise<VirtualConnection> promise,
      EventQueue.Event timeout) {

    void complete(VirtualConnection connection) {
      timeout.cancel();
      // The connection was established after the timeout, so its caller cannot close it.
      if (!promise.tryComplete(connection)) {
        connection.close();
      }
    }

    void refuse() {
      timeout.cancel();
      promise.tryFail(new ConnectException("connection refused by " + target));
    }
  }

  private void deliverConnectAttempt(ConnectAttempt attempt) {
    VirtualProcess client = attempt.client;
    Listener listener = listeners.get(attempt.target);
    boolean serverCutOff = listener != null && listener.owner.isCutOff();
    if (client.isDead() || client.isCutOff() || serverCutOff) {
      return;
    }
    Address localAddress = new Address(attempt.localHost, nextClientPort++);
    VirtualConnection clientEnd = new VirtualConnection(this, client, localAddress, attempt.target);
    VirtualProcess server = listener == null ? client : listener.owner;
    VirtualConnection serverEnd = new VirtualConnection(this, server, attempt.target, localAddress);
    VirtualConnection.linkEnds(clientEnd, serverEnd);
    serverEnd.markAccepted();
    if (listener == null || server.isDead() || !listener.acceptor.accept(serverEnd)) {
      client.closed(clientEnd);
      server.closed(serverEnd);
      events.scheduleAtNanos(arrivalNanos(), client, attempt::refuse);
      return;
    }
    long delay = (long) (maxConnectDelaysNanos.getOrDefault(server, 0L) * random.nextDouble());
    long establishedAtNanos = arrivalNanos() + delay;
    serverEnd.delayArrivalsUntil(establishedAtNanos);
    events.scheduleAtNanos(establishedAtNanos, client, () -> attempt.complete(clientEnd));
  }

  /** Starts to receive the datagrams to an address. */
  public void receiveDatagrams(
      Address address, VirtualProcess owner, BiConsumer<Buffer, Address> handler) {
    datagramReceivers.put(address, new DatagramReceiver(owner, handler));
  }

  /**
   * Sends a datagram.
   *
   * @param target the receiver's address, or {@code broadcast} for all receivers but the sender
   */
  public void sendDatagram(Address source, Buffer bytes, Address target, Address broadcast) {
    datagramReceivers.forEach(
        (address, receiver) -> {
          boolean addressed =
              target.equals(broadcast) ? !address.equals(source) : address.equals(target);
          if (addressed && !receiver.owner.isDead() && !dropsDatagram()) {
            deliverDatagram(source, bytes.copy(), receiver);
          }
        });
  }

  private boolean dropsDatagram() {
    return datagramLossShare != 0 && random.nextDouble() < datagramLossShare;
  }

  private void deliverDatagram(Address source, Buffer bytes, DatagramReceiver receiver) {
    long delay = (long) (maxDatagramDelayNanos * random.nextDouble());
    events.scheduleAtNanos(
        arrivalNanos() + delay,
        receiver.owner,
        () -> {
          arrivalObserver.accept(receiver.owner, bytes);
          receiver.handler.accept(bytes, source);
        });
  }
}
