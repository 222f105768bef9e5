package pathgw.request;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import pathgw.codec.MetaCommand;
import pathgw.codec.MetaResponses;
import pathgw.driver.DecisionDriver;
import pathgw.observability.RequestObserver;
import pathgw.transport.EventLoopTimers;
import pathgw.upstream.UpstreamPools;

/** Accepts the requests of all clients of one proxy and hands each to the decision engine. */
public final class RequestHandler {
  private final EventLoopTimers timers;
  private final DecisionDriver driver;
  private final UpstreamPools pools;
  private final Duration responseSlack;
  private final RequestObserver observer;
  private final Set<String> idsInUse = new HashSet<>();

  /**
   * Creates a handler without requests.
   *
   * @param timers the event loop's timers
   * @param driver passes inputs to the decision engine and its decisions back
   * @param pools connections to cache nodes and to the origin
   * @param responseSlack how long after its deadline a client still waits for a response
   * @param observer is notified of what happens to each request
   */
  public RequestHandler(
      EventLoopTimers timers,
      DecisionDriver driver,
      UpstreamPools pools,
      Duration responseSlack,
      RequestObserver observer) {
    this.timers = timers;
    this.driver = driver;
    this.pools = pools;
    this.responseSlack = responseSlack;
    this.observer = observer;
  }

  /**
   * Handles one request until its response is completed or its client has gone.
   *
   * @param command a complete command
   * @param response the response that is owed for it
   */
  public void handle(MetaCommand command, PendingResponse response) {
    // Two requests under one id could not tell which of them a node's response belongs to.
    if (!idsInUse.add(command.id)) {
      response.complete(MetaResponses.malformed("id in use"));
      return;
    }
    Duration deadline = timers.now().minus(timers.lag()).plus(command.wait);
    new ActiveRequest(this, command, response).start(deadline);
  }

  EventLoopTimers timers() {
    return timers;
  }

  DecisionDriver driver() {
    return driver;
  }

  UpstreamPools pools() {
    return pools;
  }

  RequestObserver observer() {
    return observer;
  }

  /** How long after its deadline a request is failed that the decision engine left undecided. */
  Duration undecidedGrace() {
    return responseSlack.dividedBy(2);
  }

  /** The id may be used for another request from now on. */
  void releaseId(String requestId) {
    idsInUse.remove(requestId);
  }
}
