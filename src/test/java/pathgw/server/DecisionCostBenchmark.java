package pathgw.server;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import pathgw.codec.JsonObjectReader;
import pathgw.config.Config;
import pathgw.config.Json;
import pathgw.config.TestConfig;
import pathgw.decision.AttemptOutcome;
import pathgw.decision.DecisionEngine;
import pathgw.discovery.Discovery;
import pathgw.discovery.EndpointListSource;
import pathgw.driver.DecisionDriver;
import pathgw.fixture.TestProxyActions;
import pathgw.snapshot.RestoredSnapshots;
import pathgw.transport.EventLoopTimers;
import pathgw.upstream.UpstreamPools;

/**
 * What a request and a whole list cost, by the number of nodes. No test: it prints what
 * docs/results.md says, under the flags that proxies run with ({@code -XX:TieredStopAtLevel=1
 * -XX:+UseSerialGC -Xmx34m}).
 */
final class DecisionCostBenchmark {
  private static final Config CONFIG =
      Config.read(TestConfig.json().getBytes(StandardCharsets.UTF_8));
  private static final int REQUESTS = 3000;
  private static final int LISTS = 40;

  private DecisionCostBenchmark() {}

  public static void main(String[] args) {
    for (int nodes : new int[] {12, 300, 1024}) {
      String list = list(nodes);
      lists(nodes, list);
      for (int round = 0; round < 3; round++) {
        requests(nodes, list);
      }
    }
  }

  private static String list(int nodes) {
    return "{\n  \"seq\": 5,\n  \"whole\": true,\n  \"hosts\": ["
        + IntStream.range(0, nodes)
            .mapToObj(
                i ->
                    "\n    {\n      \"host\": \"s-"
                        + Integer.toHexString(i * 7919 + 1_000_000)
                        + "\",\n      \"dial\": \"10.1."
                        + i / 250
                        + "."
                        + i % 250
                        + ":11211\",\n"
                        + "      \"site\": \"here\",\n      \"class\": \"std\",\n      \"block\": 3,\n"
                        + "      \"health\": \"ready\",\n      \"share\": 1.0,\n      \"born_ms\": 0\n    }")
            .collect(Collectors.joining(","))
        + "\n  ]\n}\n";
  }

  private static Discovery discovery(
      EventLoopTimers timers, DecisionDriver driver, UpstreamPools pools) {
    driver.setProxyActions(new TestProxyActions(pools));
    return new Discovery(
        to -> Future.failedFuture("none"),
        timers,
        driver,
        pools,
        CONFIG,
        RestoredSnapshots.none(),
        what -> {});
  }

  private static void lists(int nodes, String text) {
    EventLoopTimers timers = new EventLoopTimers(System::nanoTime, 0, (span, what) -> () -> {});
    DecisionDriver driver = new DecisionDriver(timers, new DecisionEngine(CONFIG.settings(), 1));
    UpstreamPools pools =
        new UpstreamPools(
            to -> Future.failedFuture("none"),
            to -> Future.failedFuture("none"),
            timers,
            CONFIG,
            100);
    Discovery discovery = discovery(timers, driver, pools);
    for (int time = 1; time <= LISTS; time++) {
      long began = System.nanoTime();
      List<Buffer> whole = new ArrayList<>();
      JsonObjectReader lines = new JsonObjectReader(Discovery.MAX_LIST_BYTES, whole::add, () -> {});
      text.lines().forEach(line -> lines.take(Buffer.buffer(line)));
      discovery.apply(Json.read(whole.get(0).getBytes(), "list"), EndpointListSource.POLL);
      if (time == 1 || time == LISTS) {
        System.out.printf(
            Locale.ROOT,
            "%d nodes, list of %d bytes, time %d: %.1f ms%n",
            nodes,
            text.length(),
            time,
            (System.nanoTime() - began) / 1e6);
      }
    }
  }

  /** Each answered at once by the node that it goes to. */
  private static void requests(int nodes, String text) {
    long[] now = {0};
    EventLoopTimers timers = new EventLoopTimers(() -> now[0], 0, (span, what) -> () -> {});
    DecisionDriver driver = new DecisionDriver(timers, new DecisionEngine(CONFIG.settings(), 1));
    UpstreamPools pools =
        new UpstreamPools(
            to -> Future.failedFuture("none"),
            to -> Future.failedFuture("none"),
            timers,
            CONFIG,
            100);
    discovery(timers, driver, pools)
        .apply(Json.read(text.getBytes(StandardCharsets.UTF_8), "list"), EndpointListSource.POLL);
    long began = System.nanoTime();
    for (int i = 0; i < REQUESTS; i++) {
      now[0] += 20_000_000;
      int key = i * 7919 % 5000 + 1;
      boolean[] over = {false};
      long id =
          driver.open(
              new DecisionDriver.RequestActions() {
                @Override
                public void attempt(Duration patience, Duration sendWithin, long node) {
                  over[0] = true;
                }

                @Override
                public void cancel(int attempt) {}

                @Override
                public void reject(Duration retryAfter) {}

                @Override
                public void fail() {}
              });
      Duration due = timers.now().plusMillis(900);
      driver.submit(m -> m.requestArrived(id, 0, 0, key, due, Duration.ZERO, false, false));
      if (over[0]) {
        driver.submit(
            m -> m.attemptEnded(id, 0, AttemptOutcome.SERVED, Duration.ofMillis(5), true));
      }
      driver.close(id);
    }
    System.out.printf(
        Locale.ROOT,
        "%d nodes, an access with its outcome: %.0f us%n",
        nodes,
        (System.nanoTime() - began) / 1e3 / REQUESTS);
  }
}
