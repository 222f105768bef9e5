package pathgw.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * The first ten seconds after the move: 100 proxies begin at once at 64 nodes with 22 places each.
 */
class FirstSecondsTest {
  private static final int PROXIES = 100;
  private static final int NODES = 64;
  private static final int PLACES = 22;

  private final int[] taken = new int[NODES + 1];
  private int sent;
  private int refused;

  private final class Proxy {
    private final DecisionEngineFixture fixture =
        DecisionEngineFixture.ofAClient(1000).list(LongStream.rangeClosed(0, NODES).toArray());
    private final Set<Integer> open = new HashSet<>();
    private final List<Runnable> answers = new ArrayList<>();
    private int heard;
    private int met;

    void step(int id, long ms) {
      fixture.at(ms).pull();
      List<Runnable> now = List.copyOf(answers);
      answers.clear();
      now.forEach(Runnable::run);
      fixture.asks(id, 0, 0, id * 7919L);
      for (int number = 0; met < fixture.sentTo.size(); number++) {
        answer(id, number, fixture.sentTo.get(met++).intValue());
      }
      for (; heard < fixture.said.size(); heard++) {
        String[] word = fixture.said.get(heard).split(" ");
        if (word[0].equals("close") && open.remove(Integer.valueOf(word[1]))) {
          taken[Integer.parseInt(word[1])]--;
        }
      }
    }

    private void answer(int id, int number, int node) {
      sent++;
      if (!open.contains(node) && taken[node] >= PLACES) {
        refused++;
        fixture.attemptEnded(id, number, AttemptOutcome.CONNECT_FAILED, 2);
        return;
      }
      taken[node] += open.add(node) ? 1 : 0;
      answers.add(() -> fixture.attemptEnded(id, number, AttemptOutcome.SERVED, 90));
    }
  }

  @Test
  void noStormOfConnectionsAndFewAreRefused() {
    List<Proxy> proxies = new ArrayList<>();
    for (int i = 0; i < PROXIES; i++) {
      proxies.add(new Proxy());
    }
    for (int tenth = 1; tenth <= 100; tenth++) {
      for (int i = 0; i < PROXIES; i++) {
        proxies.get(i).step(tenth * PROXIES + i, tenth * 100L);
      }
    }
    assertTrue(sent > 9_000, sent + " sent");
    assertTrue(refused < 0.1 * sent, refused + " of " + sent + " refused");
    assertTrue(
        proxies.stream().allMatch(p -> p.fixture.count("fetch list") == 0),
        "nobody asks the list again");
  }
}
