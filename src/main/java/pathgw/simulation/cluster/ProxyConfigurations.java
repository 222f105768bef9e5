package pathgw.simulation.cluster;

import java.util.Locale;
import java.util.function.IntFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import pathgw.config.Address;
import pathgw.simulation.scenario.Scenario;

/** Creates the JSON configurations of the simulated proxies. */
final class ProxyConfigurations {
  private static final int SEED_MULTIPLIER = 31;

  /** The quota of each of the three tenants, as a share of the steady load. */
  private static final double TENANT_QUOTA_SHARE = 0.6;

  /** The longest time between two polls of discovery. */
  private static final long MAX_POLL_INTERVAL_NANOS = 10_000_000_000L;

  private final RunEnvironment environment;
  private final Scenario scenario;
  private final SimulatedDiscovery discovery;
  private final Address broadcastAddress;

  ProxyConfigurations(
      RunEnvironment environment, SimulatedDiscovery discovery, Address broadcastAddress) {
    this.environment = environment;
    this.discovery = discovery;
    this.broadcastAddress = broadcastAddress;
    scenario = environment.scenario();
  }

  /** Returns the configuration of a proxy that starts or reloads now, as JSON text. */
  String jsonFor(SimulatedProxy proxy) {
    return String.format(
        Locale.ROOT,
        "{\"name\":\"%s\",\"listen\":\"%s\",\"discovery\":\"%s\",\"seed\":\"%x\","
            + "\"limits\":{\"sockets\":%d},"
            + "\"peer_listen\":\"%s\",\"peers\":[%s],\"peers_all\":\"%s\","
            + "\"known\":%s,\"settings\":%s}",
        proxy.name(),
        proxy.clientAddress(),
        discovery.address(),
        scenario.seed() * SEED_MULTIPLIER + proxy.number + environment.now(),
        scenario.maxDescriptors(),
        SimulatedProxy.gossipAddress(proxy.number),
        quotedList(scenario.proxies(), SimulatedProxy::gossipAddress),
        broadcastAddress,
        proxy.lastKnownList,
        settings());
  }

  private static String quotedList(int count, IntFunction<String> text) {
    return IntStream.range(0, count)
        .mapToObj(number -> "\"" + text.apply(number) + "\"")
        .collect(Collectors.joining(","));
  }

  private String settings() {
    double quota = scenario.requestsPerSecond() * TENANT_QUOTA_SHARE;
    return String.format(
        Locale.ROOT,
        "{\"instances\":%d,\"zones\":[%s],"
            + "\"hostTypes\":[\"std\",\"origin\"],\"familyInfo\":{\"mode\":\"%s\",\"originKind\":%d},"
            + "\"customers\":[{\"name\":\"one\",\"quotaPerS\":%f},{\"name\":\"two\",\"quotaPerS\":%f},"
            + "{\"name\":\"three\",\"quotaPerS\":%f}],\"offerings\":[%s,%s,%s],"
            + "\"ceilings\":%s,\"registryMode\":\"ask\",\"stepNs\":2000000,\"obligations\":%s}",
        scenario.proxies(),
        quotedList(scenario.fleet().zones(), zone -> "z" + zone),
        scenario.readThrough() ? Scenario.READ_THROUGH : Scenario.LOOK_ASIDE,
        scenario.readThrough() ? -1 : 1,
        quota,
        quota,
        quota,
        requestClass("read", "free", 400, 1400),
        requestClass("hold", "guarded", 150, 900),
        requestClass("book", "single_shot", 400, 1400),
        ceilings(),
        obligations());
  }

  private static String ceilings() {
    return String.format(
        Locale.ROOT,
        "{\"maxHandOffs\":%d,\"mayDuplicate\":true,\"cancel\":true,\"peers\":true,"
            + "\"retryAfter\":true,\"maxRetryAfterNs\":300000000,"
            + "\"connIdleNs\":%d,\"connectTimeoutNs\":75000000}",
        ClusterSettings.MAX_ATTEMPTS,
        ClusterSettings.CONNECTION_IDLE_LIMIT.toNanos());
  }

  private String obligations() {
    return String.format(
        Locale.ROOT,
        "{\"askWithinNs\":%d,"
            + "\"coldFrom\":%f,\"coldNs\":%d,\"tipMultiple\":%f,\"fallNs\":%d,\"answerSlackNs\":%d}",
        MAX_POLL_INTERVAL_NANOS,
        ClusterSettings.COLD_CAPACITY_SHARE,
        ClusterSettings.WARM_UP_TIME.toNanos(),
        scenario.coldCrashMultiple(),
        ClusterSettings.OVERLOAD_WINDOW.toNanos(),
        ClusterSettings.RESPONSE_SLACK.toNanos());
  }

  private String requestClass(String name, String effect, long objectiveMs, long deadlineMs) {
    return String.format(
        Locale.ROOT,
        "{\"name\":\"%s\",\"effect\":\"%s\",\"dedupScope\":\"%s\",\"keyTtlNs\":%d000000,"
            + "\"latencyGoalNs\":%d000000,\"outerLimitNs\":%d000000,"
            + "\"earnings\":1.0,\"tardyEarnings\":0.5}",
        name,
        effect,
        scenario.dedupScope(),
        scenario.dedupWindowMs(),
        objectiveMs,
        deadlineMs);
  }
}
