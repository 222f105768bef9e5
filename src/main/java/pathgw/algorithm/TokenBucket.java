package pathgw.algorithm;

import java.time.Duration;

/** A token bucket that starts full. */
public class TokenBucket {
  public double tokens;
  public Duration at;

  public TokenBucket(double tokens, Duration at) {
    this.tokens = tokens;
    this.at = at;
  }

  public boolean take(Duration now, double perSecond, double most) {
    fill(now, perSecond, most);
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }

  public void fill(Duration now, double perSecond, double most) {
    tokens = Math.min(most, tokens + perSecond * Durations.seconds(now.minus(at)));
    at = now;
  }
}
