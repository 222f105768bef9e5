package pathgw.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import pathgw.simulation.invariant.Violation;

/** Makes a script that breaks a rule as small as it stays while it breaks the rule alike. */
final class ScenarioShrinker {
  private static final int MOST_PLAYS = 400;

  private final Function<Scenario, RunResult> play;
  private final Violation violation;
  private Scenario best;
  private int plays;

  private ScenarioShrinker(Function<Scenario, RunResult> play, RunResult failed) {
    this.play = play;
    violation = failed.violation();
    best = failed.scenario();
  }

  /**
   * @param play plays a script; called a bounded number of times
   */
  static Scenario shrink(Function<Scenario, RunResult> play, RunResult failed) {
    ScenarioShrinker shrink = new ScenarioShrinker(play, failed);
    Scenario before;
    do {
      before = shrink.best;
      shrink.time(failed);
      shrink.faults();
      shrink.figures();
      shrink.times();
    } while (!shrink.best.equals(before) && shrink.plays < MOST_PLAYS);
    return shrink.best;
  }

  private boolean takes(Scenario smaller) {
    if (smaller.equals(best) || plays++ >= MOST_PLAYS) {
      return false;
    }
    if (violation.isSameKindAs(play.apply(smaller).violation())) {
      best = smaller;
      return true;
    }
    return false;
  }

  /** What comes after the breach has no part in it; a leak shows only at the end of a run. */
  private void time(RunResult failed) {
    for (long lasts :
        new long[] {
          best.lastsMs() / 4, best.lastsMs() / 2, failed.violation().atNanos() / 1_000_000 + 1000
        }) {
      long ends = Math.max(500, lasts);
      if (ends < best.lastsMs()) {
        takes(
            best.with("lasts", ends)
                .with(best.faults().stream().filter(f -> f.atMs() < ends).toList()));
      }
    }
  }

  /** Leaves out halves, then quarters, and so on down to each one. */
  private void faults() {
    for (int size = Math.max(1, best.faults().size() / 2); size >= 1; size /= 2) {
      for (int at = 0; at < best.faults().size(); ) {
        List<Fault> left = new ArrayList<>(best.faults());
        left.subList(at, Math.min(at + size, left.size())).clear();
        if (!takes(best.with(left))) {
          at += size;
        }
      }
    }
  }

  private void figures() {
    for (String word : new String[] {"rude", "stay", "warm-up"}) {
      takes(best.with(word, 0));
    }
    for (int least = 1; least < best.proxies(); least++) {
      if (takes(best.with("proxies", least))) {
        break;
      }
    }
    for (int least : new int[] {1, 2, 3, 4, 6, 8, 12}) {
      if (least < best.nodes() && takes(best.with("nodes", least))) {
        break;
      }
    }
    boolean slower = true;
    while (slower) {
      slower = takes(best.with("rate", Math.max(1, Math.floor(best.rate() / 2))));
    }
    Scenario p = Scenario.PLAIN;
    takes(best.with("keys", p.keys()));
    takes(best.with("skew", p.skew()));
    takes(best.with("room", p.room()));
    takes(best.with("tips", p.tips()));
    takes(best.with("memory", p.memoryMs()));
    takes(best.with("sockets", p.sockets()));
    for (Scenario simpler : List.of(best.mode("aside"), best.group("all"))) {
      takes(simpler);
    }
  }

  private void times() {
    for (int i = 0; i < best.faults().size(); i++) {
      Fault f = best.faults().get(i);
      long[][] times = {
        {f.atMs(), f.forMs() / 2},
        {f.atMs() / 100 * 100, f.forMs() / 100 * 100},
        {f.atMs() / 1000 * 1000, f.forMs()}
      };
      for (long[] t : times) {
        // A length of 0 would mean for good.
        if (t[1] > 0 || f.forMs() == 0) {
          List<Fault> changed = new ArrayList<>(best.faults());
          changed.set(i, new Fault(t[0], t[1], f.kind(), f.target(), f.by()));
          takes(best.with(changed));
        }
      }
    }
  }
}
