package pathgw.fake;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;

/**
 * The clients of all proxies behind one load balancer. They send requests at random times, keep
 * connections for reuse, and retry as far as a request's class allows. Some of them send malformed
 * commands.
 */
public final class FakeClients {
  /** How far a request may be repeated. */
  public enum Effect {
    /** Any number of times. */
    IDEMPOTENT,

    /** Any number of times with the same idempotency key, while the servers remember the key. */
    IDEMPOTENCY_KEYED,

    /** Only where the first attempt is known not to have run. */
    AT_MOST_ONCE
  }

  /**
   * One class of requests.
   *
   * @param repeats whether clients retry an idempotency-keyed request after any failure
   * @param deadline how long a client wants the result, over all its attempts
   * @param patience how long a client waits for one attempt
   * @param part share of all requests, 0 to 1
   */
  public record RequestClass(
      String name,
      Effect effect,
      boolean repeats,
      Duration deadline,
      Duration patience,
      double part) {}

  /** What clients do at present; may be changed at any time. */
  public static final class Habits {
    /** Requests a second. */
    public double rate;

    /** The share of requests for one single key. */
    public double hot;

    /** The first tenant's traffic, as a multiple of any other tenant's. */
    public double greed = 1;

    /** The share of attempts that the client abandons before it has an answer. */
    public double leaves;

    /** The share of attempts after which the client keeps its connection open, unused. */
    public double stay;

    /** Clients a second that send a malformed command. */
    public double rude;
  }

  /** Arrivals never cease entirely: the next one looks at the behaviour again. */
  private static final double MIN_REQUESTS_PER_SECOND = 0.1;

  private static final double MIN_MALFORMED_PER_SECOND = 0.2;
  private static final int MAX_IDLE_CONNECTIONS_PER_PROXY = 24;
  private static final int MAX_ATTEMPTS = 3;
  private static final int MIN_ATTEMPT_TIMEOUT_MS = 20;
  private static final int MIN_CONNECT_RETRY_MS = 50;
  private static final int CONNECT_RETRY_RANGE_MS = 200;
  private static final int RETRY_JITTER_MS = 100;

  /** One of so many connections is closed after an answer instead of being kept. */
  private static final int CLOSE_ONE_OF = 20;

  private final Clock clock;
  private final Random random;
  private final ClientConnector connector;
  private final ClientObserver observer;
  private final List<String> tenants;
  private final Habits behavior = new Habits();
  private final LoadBalancer loadBalancer;
  private final RequestGenerator requestGenerator;
  private final PoissonProcess requestArrivals;
  private final PoissonProcess malformedArrivals;
  private final String malformedRequestClass;
  private final List<Deque<ClientConnection>> idleConnections = new ArrayList<>();
  private boolean stopped;

  /**
   * Creates clients that have not started.
   *
   * @param random the source of all random choices
   * @param uneven how unequal the proxies' traffic is: exponent of Zipf's law, 0 for round robin
   * @param tenants names, as requests carry them
   * @param keys how many keys there are
   * @param skew exponent of Zipf's law for the keys' popularity
   */
  public FakeClients(
      Clock clock,
      Random random,
      ClientConnector connector,
      ClientObserver observer,
      int proxies,
      double uneven,
      List<RequestClass> requestClasses,
      List<String> tenants,
      int keys,
      double skew) {
    this.clock = clock;
    this.random = random;
    this.connector = connector;
    this.observer = observer;
    this.tenants = tenants;
    loadBalancer = new LoadBalancer(clock, random, proxies, uneven);
    requestGenerator =
        new RequestGenerator(
            clock,
            random,
            behavior,
            requestClasses,
            tenants.size(),
            new ZipfDistribution(keys, skew));
    requestArrivals =
        new PoissonProcess(
            clock,
            random,
            () -> Math.max(MIN_REQUESTS_PER_SECOND, behavior.rate),
            () -> send(requestGenerator.next(), 0));
    malformedArrivals =
        new PoissonProcess(
            clock,
            random,
            () -> Math.max(MIN_MALFORMED_PER_SECOND, behavior.rude),
            this::sendMalformedInput);
    malformedRequestClass = requestClasses.get(0).name();
    for (int i = 0; i < proxies; i++) {
      idleConnections.add(new ArrayDeque<>());
    }
  }

  /** What the clients do at present, for the caller to change. */
  public Habits habits() {
    return behavior;
  }

  /** Starts all traffic, with every proxy in the load balancer's rotation. */
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

  /** A proxy accepts connections: the load balancer uses it from now on. */
  public void serves(int proxy) {
    loadBalancer.add(proxy);
  }

  /** A proxy begins its graceful shutdown: after a moment the load balancer uses it no more. */
  public void stops(int proxy) {
    loadBalancer.drain(proxy);
  }

  /** Sends one attempt, on an idle connection where there is one. */
  private void send(ClientRequest request, int retries) {
    Duration remaining = request.remaining(clock.now());
    Duration patience = request.requestClass().patience();
    Duration timeout = remaining.compareTo(patience) < 0 ? remaining : patience;
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
        Duration.ofMillis(MIN_CONNECT_RETRY_MS + random.nextInt(CONNECT_RETRY_RANGE_MS));
    clock.in(pause, () -> send(request, retries + 1));
  }

  private void sendMalformedInput() {
    if (behavior.rude <= 0) {
      return;
    }
    int proxy = random.nextInt(idleConnections.size());
    connector.open(
        proxy,
        side -> new MalformedClient(clock, random, observer, malformedRequestClass, side, proxy),
        () -> {});
  }

  /** Sends the next attempt of a request after a pause with some jitter. */
  void retry(ClientAttempt attempt, Duration pause) {
    clock.in(
        pause.plusMillis(1 + random.nextInt(RETRY_JITTER_MS)),
        () -> send(attempt.request(), attempt.tries() + 1));
  }

  /**
   * Keeps a connection for reuse.
   *
   * @return false where it must be closed instead
   */
  boolean keepIdle(ClientConnection connection, int proxy) {
    Deque<ClientConnection> pool = idleConnections.get(proxy);
    if (stopped
        || pool.size() >= MAX_IDLE_CONNECTIONS_PER_PROXY
        || random.nextInt(CLOSE_ONE_OF) == 0) {
      return false;
    }
    pool.addLast(connection);
    return true;
  }

  /** Forgets a connection that has ended. */
  void removeIdle(ClientConnection connection, int proxy) {
    idleConnections.get(proxy).remove(connection);
  }
}
