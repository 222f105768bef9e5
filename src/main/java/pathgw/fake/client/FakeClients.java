package pathgw.fake.client;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import pathgw.fake.ClientConnector;
import pathgw.fake.Clock;
import pathgw.fake.ConnectionSide;

/**
 * The clients of all proxies, behind one load balancer. They send requests at random times, keep
 * connections for reuse, and retry as far as the request class allows. Some clients send malformed
 * commands.
 */
public final class FakeClients {
  /**
   * Lower bound of the request rate. The rate is read again only at each arrival, so that a rate of
   * zero would stop the traffic permanently.
   */
  private static final double MIN_REQUESTS_PER_SECOND = 0.1;

  private static final double MIN_MALFORMED_PER_SECOND = 0.2;
  private static final int MAX_IDLE_CONNECTIONS_PER_PROXY = 24;
  private static final int MAX_ATTEMPTS = 3;
  private static final int MIN_ATTEMPT_TIMEOUT_MS = 20;
  private static final int MIN_CONNECT_RETRY_DELAY_MS = 50;
  private static final int CONNECT_RETRY_DELAY_RANGE_MS = 200;
  private static final int RETRY_JITTER_MS = 100;

  /** After one in this many answers, on average, the connection is closed instead of reused. */
  private static final int ANSWERS_PER_CLOSED_CONNECTION = 20;

  private final Clock clock;
  private final Random random;
  private final ClientConnector connector;
  private final ClientObserver observer;
  private final List<String> tenants;
  private final ClientBehavior behavior = new ClientBehavior();
  private final LoadBalancer loadBalancer;
  private final RequestGenerator requestGenerator;
  private final PoissonProcess requestArrivals;
  private final PoissonProcess malformedArrivals;
  private final String malformedInputRequestClass;
  private final List<Deque<ClientConnection>> idleConnections = new ArrayList<>();
  private boolean stopped;

  /**
   * Creates clients that have not started.
   *
   * @param random the source of all random choices
   * @param proxies the number of proxies
   * @param proxySkew exponent of Zipf's law for the proxies' shares of the traffic; 0 for round
   *     robin
   * @param tenants the tenant names that requests carry
   * @param keys the number of keys
   * @param keySkew exponent of Zipf's law for the popularity of the keys
   */
  public FakeClients(
      Clock clock,
      Random random,
      ClientConnector connector,
      ClientObserver observer,
      int proxies,
      double proxySkew,
      List<RequestClass> requestClasses,
      List<String> tenants,
      int keys,
      double keySkew) {
    this.clock = clock;
    this.random = random;
    this.connector = connector;
    this.observer = observer;
    this.tenants = tenants;
    loadBalancer = new LoadBalancer(clock, random, proxies, proxySkew);
    requestGenerator =
        new RequestGenerator(
            clock,
            random,
            behavior,
            requestClasses,
            tenants.size(),
            new ZipfDistribution(keys, keySkew));
    requestArrivals =
        new PoissonProcess(
            clock,
            random,
            () -> Math.max(MIN_REQUESTS_PER_SECOND, behavior.requestsPerSecond),
            () -> send(requestGenerator.next(), 0));
    malformedArrivals =
        new PoissonProcess(
            clock,
            random,
            () -> Math.max(MIN_MALFORMED_PER_SECOND, behavior.malformedPerSecond),
            this::sendMalformedInput);
    malformedInputRequestClass = requestClasses.get(0).name();
    for (int i = 0; i < proxies; i++) {
      idleConnections.add(new ArrayDeque<>());
    }
  }

  /** Returns the present behavior of the clients, which the caller may change. */
  public ClientBehavior behavior() {
    return behavior;
  }

  /** Starts all traffic, with every proxy in the rotation of the load balancer. */
  public void start() {
    loadBalancer.addAll();
    requestArrivals.start();
    malformedArrivals.start();
  }

  /** Stops all traffic and closes the idle connections. */
  public void stop() {
    stopped = true;
    requestArrivals.stop();
    malformedArrivals.stop();
    idleConnections.forEach(pool -> List.copyOf(pool).forEach(ClientConnection::close));
  }

  /** Adds a proxy that accepts connections to the rotation of the load balancer. */
  public void proxyStarted(int proxy) {
    loadBalancer.add(proxy);
  }

  /** Removes a proxy that shuts down gracefully from the load balancer's rotation, with a delay. */
  public void proxyDraining(int proxy) {
    loadBalancer.drain(proxy);
  }

  /**
   * Sends one attempt, on an idle connection if there is one. Drops the request if its attempts are
   * used up or too little time is left until its deadline.
   */
  private void send(ClientRequest request, int retries) {
    Duration remaining = request.remaining(clock.now());
    Duration attemptTimeout = request.requestClass().attemptTimeout();
    Duration timeout = remaining.compareTo(attemptTimeout) < 0 ? remaining : attemptTimeout;
    if (stopped || retries >= MAX_ATTEMPTS || timeout.toMillis() < MIN_ATTEMPT_TIMEOUT_MS) {
      return;
    }
    int proxy = loadBalancer.next();
    ClientConnection idle = idleConnections.get(proxy).pollLast();
    if (idle != null) {
      idle.send(request, timeout, retries);
      return;
    }
    connector.open(
        proxy,
        side -> {
          ClientConnection connection = connect(side, proxy);
          connection.send(request, timeout, retries);
          return connection;
        },
        () -> connectionRefused(proxy, request, retries));
  }

  private ClientConnection connect(ConnectionSide side, int proxy) {
    return new ClientConnection(clock, random, observer, behavior, tenants, this, side, proxy);
  }

  private void connectionRefused(int proxy, ClientRequest request, int retries) {
    loadBalancer.connectionRefused(proxy);
    Duration pause =
        Duration.ofMillis(
            MIN_CONNECT_RETRY_DELAY_MS + random.nextInt(CONNECT_RETRY_DELAY_RANGE_MS));
    clock.schedule(pause, () -> send(request, retries + 1));
  }

  private void sendMalformedInput() {
    if (behavior.malformedPerSecond <= 0) {
      return;
    }
    int proxy = random.nextInt(idleConnections.size());
    connector.open(
        proxy,
        side ->
            new MalformedClient(clock, random, observer, malformedInputRequestClass, side, proxy),
        () -> {});
  }

  /** Sends the next attempt of a request after a pause, plus a random jitter. */
  void retry(ClientAttempt attempt, Duration pause) {
    clock.schedule(
        pause.plusMillis(1 + random.nextInt(RETRY_JITTER_MS)),
        () -> send(attempt.request(), attempt.retries() + 1));
  }

  /**
   * Keeps an idle connection for reuse.
   *
   * @return whether it was kept; if false, the caller closes it
   */
  boolean keepIdle(ClientConnection connection, int proxy) {
    Deque<ClientConnection> pool = idleConnections.get(proxy);
    if (stopped
        || pool.size() >= MAX_IDLE_CONNECTIONS_PER_PROXY
        || random.nextInt(ANSWERS_PER_CLOSED_CONNECTION) == 0) {
      return false;
    }
    pool.addLast(connection);
    return true;
  }

  /** Removes a connection that has ended from the idle connections. */
  void removeIdle(ClientConnection connection, int proxy) {
    idleConnections.get(proxy).remove(connection);
  }
}
