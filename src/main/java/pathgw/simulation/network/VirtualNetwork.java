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
 * <p>Each random draw happens in a fixed order, so that a seed gives the same run every time.
 */
public final class VirtualNetwork {
  private static final long LATENCY_NANOS = 100_000;

  /** One piece in so many is delayed by up to {@link #MAX_SPIKE_NANOS} more. */
  private static final int PIECES_PER_SPIKE = 64;

  private static final int MAX_SPIKE_NANOS = 2_000_000;

  /** One write in so many arrives in two pieces. */
  private static final int WRITES_PER_SPLIT = 16;

  private static final int FIRST_CLIENT_PORT = 30_000;

  /** Accepts the connections to an address. */
  public interface Acceptor {
    /** Takes the accepting end of a new connection, or returns false to refuse it. */
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
   * @param arrivalObserver sees all bytes as they arrive, for the digest of the run
   */
  public VirtualNetwork(
      EventQueue events, Random random, BiConsumer<VirtualProcess, Buffer> arrivalObserver) {
    this.events = events;
    this.random = random;
    this.arrivalObserver = arrivalObserver;
  }

  /** Resets connections during this share of the writes to a process, before the last byte. */
  public void setResetShare(VirtualProcess target, double share) {
    resetShares.put(target, share);
  }

  /** Delays new connections to a process by up to so many nanoseconds. */
  public void setMaxConnectDelay(VirtualProcess target, long delayNanos) {
    maxConnectDelaysNanos.put(target, delayNanos);
  }

  /** Loses this share of all datagrams, and delays the others by up to so many nanoseconds. */
  public void setDatagramFaults(double lossShare, long maxDelayNanos) {
    datagramLossShare = lossShare;
    maxDatagramDelayNanos = maxDelayNanos;
  }

  boolean resetsDuringWriteTo(VirtualProcess target) {
    double share = resetShares.isEmpty() ? 0 : resetShares.getOrDefault(target, 0.0);
    return share > 0 && random.nextDouble() < share;
  }

  /** Where a write of so many bytes is split in two; 0 if it is not. */
  int splitPosition(int length) {
    return length > 1 && random.nextInt(WRITES_PER_SPLIT) == 0 ? 1 + random.nextInt(length - 1) : 0;
  }

  long now() {
    return events.now();
  }

  /** When something sent now arrives. */
  long arrivalNanos() {
    return events.now()
        + LATENCY_NANOS
        + (long) (LATENCY_NANOS * random.nextDouble())
        + (random.nextInt(PIECES_PER_SPIKE) == 0 ? random.nextInt(MAX_SPIKE_NANOS) : 0);
  }

  void runAt(long atNanos, VirtualProcess owner, Runnable action) {
    events.scheduleAtNanos(atNanos, owner, action);
  }

  /** Runs an action in a process after the events that are due now. */
  public void runAfterDueEvents(VirtualProcess owner, Runnable action) {
    events.scheduleAtNanos(events.now(), owner, action);
  }

  void observeArrival(VirtualProcess owner, Buffer bytes) {
    arrivalObserver.accept(owner, bytes);
  }

  /** Accepts connections to an address from now on. */
  public void listen(Address address, VirtualProcess owner, Acceptor acceptor) {
    listeners.put(address, new Listener(owner, acceptor));
  }

  /** Refuses new connections to an address from now on; open ones stay. */
  public void stopListening(Address address) {
    listeners.remove(address);
  }

  /**
   * Opens a connection.
   *
   * @param localHost the host that the accepting side sees
   * @return the connection; fails if it is refused or not up within the timeout
   */
  public Future<VirtualConnection> connect(
      VirtualProcess client, String localHost, Address target, long timeoutNanos) {
    Promise<VirtualConnection> promise = Promise.promise();
    EventQueue.Event timeout =
        events.scheduleInNanos(
            timeoutNanos,
            client,
            () ->
                promise.tryFail(new Transport.ConnectTimeoutException("no answer from " + target)));
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
      // If it comes up after the timeout, whoever asked for it never hears of it.
      if (!promise.tryComplete(connection)) {
        connection.close();
      }
    }

    void refuse() {
      timeout.cancel();
      promise.tryFail(new ConnectException("refused by " + target));
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

  /** Receives the datagrams to an address from now on. */
  public void receiveDatagrams(
      Address address, VirtualProcess owner, BiConsumer<Buffer, Address> handler) {
    datagramReceivers.put(address, new DatagramReceiver(owner, handler));
  }

  /**
   * Sends a datagram.
   *
   * @param target one receiver, or {@code broadcast} for all but the sender
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
