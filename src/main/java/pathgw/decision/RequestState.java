package pathgw.decision;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import pathgw.algorithm.BetaPosterior;
import pathgw.decision.Settings.RequestClass;

/** One request from its arrival until all of its attempts have ended. */
final class RequestState {
  long id;
  long order;
  RequestClass requestClass;
  RequestClassState pace;
  double scale = 1;
  int tenant;
  long key;
  boolean write;
  Duration due;
  Duration goal;
  Duration giveUp;
  boolean repeat;
  NextStep wants = NextStep.PLACE;
  boolean ended;
  boolean streaming;
  List<NodeState> ranked;
  long rankedFrom = -1;
  final List<AttemptState> attempts = new ArrayList<>(2);
  List<RequestState> waiters = new ArrayList<>();
  boolean waited;
  BetaPosterior tried;

  int out() {
    int out = 0;
    for (AttemptState h : attempts) {
      out += h.how == null ? 1 : 0;
    }
    return out;
  }

  /** What a request asks of the next decision. */
  enum NextStep {
    PLACE,
    FURTHER,
    AGAIN,
    FETCH,
    END,
    NOTHING
  }
}
