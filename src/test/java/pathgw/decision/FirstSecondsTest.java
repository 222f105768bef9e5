package pathgw.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Starts 100 proxies at once in front of 64 nodes that accept 22 connections each. Most connections
 * must succeed, and refused ones must not make the proxies poll the endpoint list.
 */
class FirstSecondsTest {
  private static final int PROXIES = 100;
  private static final int NODES = 64;
  private static final int MAX_CONNECTIONS = 22;

  private final int[] connections = new int[NODES + 1];
  private int attempts;
  private int refused;

  private final class Proxy {
    private final DecisionEngineFixture fixture =
        DecisionEngineFixture.onePerClient(1000)
            .withEndpoints(LongStream.rangeClosed(0, NODES).toArray());
    private final Set<Integer> openTo = new HashSet<>();
    private final List<Runnable> answers = new ArrayList<>();
    private int actionsSeen;
    private int attemptsSeen;

    void step(int id, long ms) {
      fixture.at(ms).decideAll();
      List<Runnable> now = List.copyOf(answers);
      answers.clear();
      now.forEach(Runnable::run);
      fixture.arriveAndDecideAll(id, 0, 0, id * 7919L);
      for (int number = 0; attemptsSeen < fixture.attemptedNodes.size(); number++) {
        answer(id, number, fixture.attemptedNodes.get(attemptsSeen++).intValue());
      }
      for (; actionsSeen < fixture.actions.size(); actionsSeen++) {
        String[] action = fixture.actions.get(actionsSeen).split(" ");
        if (action[0].equals("close") && openTo.remove(Integer.valueOf(action[1]))) {
          connections[Integer.parseInt(action[1])]--;
        }
      }
    }

    private void answer(int id, int number, int node) {
      attempts++;
      if (!openTo.contains(node) && connections[node] >= MAX_CONNECTIONS) {
        refused++;
        fixture.attemptEnded(id, number, AttemptOutcome.CONNECT_FAILED, 2);
        return;
      }
      connections[node] += openTo.add(node) ? 1 : 0;
      answers.add(() -> fixture.attemptEnded(id, number, AttemptOutcome.SERVED, 90));
    }
  }

  @Test
  void fewConnectionsAreRefusedAndNobodyPollsEndpointList() {
    List<Proxy> proxies = new ArrayList<>();
    for (int i = 0; i < PROXIES; i++) {
      proxies.add(new Proxy());
    }
    for (int tick = 1; tick <= 100; tick++) {
      for (int i = 0; i < PROXIES; i++) {
        proxies.get(i).step(tick * PROXIES + i, tick * 100L);
      }
    }
    assertTrue(attempts > 9_000, attempts + " attempts sent");
    assertTrue(refused < 0.1 * attempts, refused + " of " + attempts + " attempts refused");
    assertTrue(
        proxies.stream().allMatch(p -> p.fixture.count("poll") == 0),
        "no proxy polls the endpoint list");
  }
}
