package pathgw.simulation.cluster;

import java.util.Map;
import pathgw.config.Address;
import pathgw.server.ProxyServer;
import pathgw.simulation.network.VirtualProcess;

/** A proxy under one name, through all its processes. */
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

  /** The last complete endpoint list that it had, as JSON; its next process starts with that. */
  String lastKnownList;

  Map<String, String> lastKnownHealth = Map.of();
  long lastKnownVersion;

  SimulatedProxy(int number) {
    this.number = number;
  }

  /** The number in its name. */
  public int number() {
    return number;
  }

  /** The name, such as {@code p3}, of it and of each of its processes. */
  public String name() {
    return NAME_PREFIX + number;
  }

  /** Whether a process is one of a proxy. */
  public static boolean isProxy(VirtualProcess process) {
    return process.name().startsWith(NAME_PREFIX);
  }

  /** Its current process, which may be dead. */
  public VirtualProcess process() {
    return process;
  }

  /** The server in its current process. */
  public ProxyServer server() {
    return server;
  }

  /** Whether its current process runs and has begun to serve. */
  public boolean isServing() {
    return isServing(process);
  }

  /** Whether it has begun to serve and this process of it, which may be an earlier one, runs. */
  public boolean isServing(VirtualProcess process) {
    return serving && !process.isDead();
  }

  /** Whether it has begun to serve and was not asked to stop. */
  public boolean isServingNormally() {
    return serving && !stopping;
  }

  /** Where clients connect. */
  Address clientAddress() {
    return new Address(host(number), CLIENT_PORT);
  }

  static String gossipAddress(int number) {
    return host(number) + ":" + GOSSIP_PORT;
  }

  /** The host of a proxy, from which {@link #nameOfHost} finds its name again. */
  static String host(int number) {
    int subnet = FIRST_SUBNET + number / PROXIES_PER_SUBNET;
    return "10." + subnet + "." + number % PROXIES_PER_SUBNET + ".1";
  }

  /** The name of the proxy that has a host. */
  static String nameOfHost(String host) {
    String[] parts = host.split("\\.");
    int subnet = Integer.parseInt(parts[1]) - FIRST_SUBNET;
    return NAME_PREFIX + (subnet * PROXIES_PER_SUBNET + Integer.parseInt(parts[2]));
  }
}
