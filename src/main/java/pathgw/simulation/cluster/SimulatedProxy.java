package pathgw.simulation.cluster;

import java.util.Map;
import pathgw.config.Address;
import pathgw.server.ProxyServer;
import pathgw.simulation.network.VirtualProcess;

/** A proxy, which keeps its name through all restarts of its process. */
public final class SimulatedProxy {
  private static final String NAME_PREFIX = "p";
  private static final int FIRST_SUBNET = 100;
  private static final int PROXIES_PER_SUBNET = 250;
  private static final int CLIENT_PORT = 11211;
  private static final int GOSSIP_PORT = 7946;

  final int number;
  VirtualProcess process;
  ProxyServer server;
  long startedAtNanos;
  boolean serving;
  boolean stopping;

  /**
   * The last complete endpoint list that the proxy received, as JSON; its next process starts with
   * it.
   */
  String lastKnownList;

  /** The health of each host in {@link #lastKnownList}. */
  Map<String, String> lastKnownHealth = Map.of();

  long lastKnownVersion;

  SimulatedProxy(int number) {
    this.number = number;
  }

  /** Returns the number in the proxy's name. */
  public int number() {
    return number;
  }

  /** Returns the name of the proxy and of each of its processes, such as {@code p3}. */
  public String name() {
    return NAME_PREFIX + number;
  }

  /** Whether a process belongs to a proxy. */
  public static boolean isProxy(VirtualProcess process) {
    return process.name().startsWith(NAME_PREFIX);
  }

  /** Returns the proxy's current process, which may be dead. */
  public VirtualProcess process() {
    return process;
  }

  /** Returns the server in the current process. */
  public ProxyServer server() {
    return server;
  }

  /** Whether the proxy has started to serve and its current process runs. */
  public boolean isServing() {
    return isServing(process);
  }

  /** Whether the proxy has started to serve and the given process, current or earlier, runs. */
  public boolean isServing(VirtualProcess process) {
    return serving && !process.isDead();
  }

  /** Whether the proxy has started to serve and has not been asked to stop. */
  public boolean isServingNormally() {
    return serving && !stopping;
  }

  /** Returns the address to which clients connect. */
  Address clientAddress() {
    return new Address(host(number), CLIENT_PORT);
  }

  static String gossipAddress(int number) {
    return host(number) + ":" + GOSSIP_PORT;
  }

  /** Returns the host of a proxy; {@link #nameOfHost} is the inverse. */
  static String host(int number) {
    int subnet = FIRST_SUBNET + number / PROXIES_PER_SUBNET;
    return "10." + subnet + "." + number % PROXIES_PER_SUBNET + ".1";
  }

  /** Returns the name of the proxy with the given host. */
  static String nameOfHost(String host) {
    String[] parts = host.split("\\.");
    int subnet = Integer.parseInt(parts[1]) - FIRST_SUBNET;
    return NAME_PREFIX + (subnet * PROXIES_PER_SUBNET + Integer.parseInt(parts[2]));
  }
}
