package pathgw.fake;

import java.time.Duration;

/** Time as one fake has it; what it asked for does not happen once its process has gone. */
public interface Clock {
  /** Since the start of the world. */
  Duration now();

  void in(Duration span, Runnable what);
}
