package pathgw.server;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import pathgw.client.ClientCloseSummary;
import pathgw.observability.Counters;
import pathgw.observability.RateLimitedLog;
import pathgw.transport.EventLoopTimers;

/**
 * Counts why client connections were closed, and warns if the proxy closed one over unsent data.
 */
final class ClientCloseLog {
  private static final Logger LOG = System.getLogger(ClientCloseLog.class.getName());
  private static final String SUBJECT = "client-connections ";

  private final Counters counters;
  private final RateLimitedLog limitedLog;

  ClientCloseLog(Counters counters, EventLoopTimers timers) {
    this.counters = counters;
    limitedLog = new RateLimitedLog(LOG, timers);
  }

  /** Records the close of one connection. */
  void closed(ClientCloseSummary summary) {
    counters.count(SUBJECT + summary.reason());
    LOG.log(Level.DEBUG, summary::toString);
    if (summary.discardedBytes() > 0) {
      counters.count(SUBJECT + "with-bytes-after-the-end");
    }
    if (summary.isLossByProxy()) {
      countLoss(summary);
      limitedLog.warn(summary::toString);
    }
  }

  private void countLoss(ClientCloseSummary summary) {
    if (summary.unansweredCommands() > 0) {
      counters.count(SUBJECT + "with-unanswered-commands");
    }
    if (summary.unsentBytes() > 0) {
      counters.count(SUBJECT + "with-unsent-bytes");
    }
    if (summary.undeliveredBytes() > 0) {
      counters.count(SUBJECT + "with-undelivered-bytes");
    }
  }
}
