package pathgw.standin;

import java.time.Duration;

/** Time as one stand-in has it; what it asked for does not happen once its process has gone. */
public interface Clock {
  /** Since the start of the world. */
  Duration now();

  void in(Duration span, Runnable what);
}
