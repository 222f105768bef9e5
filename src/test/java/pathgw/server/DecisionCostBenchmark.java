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
 * Measures the CPU time of a request and of a complete endpoint list, by the number of nodes. Not a
 * test: it prints the figures of docs/results.md, under the flags that proxies run with ({@code
 * -XX:TieredStopAtLevel=1 -XX:+UseSerialGC -Xmx34m}).
 */
final class DecisionCostBenchmark {
  private static final Config CONFIG =
      Config.read(TestConfig.json().getBytes(StandardCharsets.UTF_8));
  private static final int REQUESTS = 3000;
  private static final int LIST_REPETITIONS = 40;

  private DecisionCostBenchmark() {}

  public static void main(String[] args) {
    for (int nodes : new int[] {12, 300, 1024}) {
      String list = endpointList(nodes);
      measureLists(nodes, list);
      for (int round = 0; round < 3; round++) {
        measureRequests(nodes, list);
      }
    }
  }

  private static String endpointList(int nodes) {
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

  private static void measureLists(int nodes, String text) {
    EventLoopTimers timers = new EventLoopTimers(System::nanoTime, 0, (delay, task) -> () -> {});
    DecisionDriver driver = new DecisionDriver(timers, new DecisionEngine(CONFIG.settings(), 1));
    UpstreamPools pools =
        new UpstreamPools(
            to -> Future.failedFuture("none"),
            to -> Future.failedFuture("none"),
            timers,
            CONFIG,
            100);
    Discovery discovery = discovery(timers, driver, pools);
    for (int repetition = 1; repetition <= LIST_REPETITIONS; repetition++) {
      long startNanos = System.nanoTime();
      List<Buffer> objects = new ArrayList<>();
      JsonObjectReader reader =
          new JsonObjectReader(Discovery.MAX_LIST_BYTES, objects::add, () -> {});
      text.lines().forEach(line -> reader.take(Buffer.buffer(line)));
      discovery.apply(Json.read(objects.get(0).getBytes(), "list"), EndpointListSource.POLL);
      if (repetition == 1 || repetition == LIST_REPETITIONS) {
        System.out.printf(
            Locale.ROOT,
            "%d nodes, list of %d bytes, repetition %d: %.1f ms%n",
            nodes,
            text.length(),
            repetition,
            (System.nanoTime() - startNanos) / 1e6);
      }
    }
  }

  /** Each request is answered at once by the node that it is forwarded to. */
  private static void measureRequests(int nodes, String text) {
    long[] nowNanos = {0};
    EventLoopTimers timers = new EventLoopTimers(() -> nowNanos[0], 0, (delay, task) -> () -> {});
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
    long startNanos = System.nanoTime();
    for (int i = 0; i < REQUESTS; i++) {
      nowNanos[0] += 20_000_000;
      int key = i * 7919 % 5000 + 1;
      boolean[] attempted = {false};
      long id =
          driver.register(
              new DecisionDriver.RequestActions() {
                @Override
                public void attempt(Duration patience, Duration sendWithin, long node) {
                  attempted[0] = true;
                }

                @Override
                public void cancel(int attempt) {}

                @Override
                public void reject(Duration retryAfter) {}

                @Override
                public void fail() {}
              });
      Duration deadline = timers.now().plusMillis(900);
      driver.submit(
          engine -> engine.requestArrived(id, 0, 0, key, deadline, Duration.ZERO, false, false));
      if (attempted[0]) {
        driver.submit(
            engine ->
                engine.attemptEnded(id, 0, AttemptOutcome.SERVED, Duration.ofMillis(5), true));
      }
      driver.unregister(id);
    }
    System.out.printf(
        Locale.ROOT,
        "%d nodes, a request with its outcome: %.0f us%n",
        nodes,
        (System.nanoTime() - startNanos) / 1e3 / REQUESTS);
  }
}
