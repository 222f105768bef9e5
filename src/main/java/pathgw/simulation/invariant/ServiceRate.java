package pathgw.simulation.invariant;

import pathgw.fake.client.ClientAttempt;

/** Measures the share of the clients' first attempts that are served, from a given time on. */
final class ServiceRate {
  private long measuredFromNanos = Long.MAX_VALUE;
  private long started;
  private long served;

  void startMeasuring(long nowNanos) {
    measuredFromNanos = nowNanos;
  }

  void requestStarted(ClientAttempt attempt, long nowNanos) {
    if (attempt.retries() == 0 && nowNanos >= measuredFromNanos) {
      started++;
    }
  }

  void requestServed(ClientAttempt attempt) {
    if (attempt.retries() == 0 && attempt.sentAt().toNanos() >= measuredFromNanos) {
      served++;
    }
  }

  /** Returns the share, between 0 and 1; 1 if no request was started. */
  double rate() {
    return started == 0 ? 1 : (double) served / started;
  }
}
