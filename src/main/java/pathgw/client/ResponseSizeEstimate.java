package pathgw.client;

import pathgw.codec.MetaCommand;

/** Estimates how long the response to the next read will be, from those to the last ones. */
public final class ResponseSizeEstimate {
  private static final double SMOOTHING_RESPONSES = 32;

  /** Longer responses than expected count more, since they may use up the memory. */
  private static final double SMOOTHING_LONGER_RESPONSES = 4;

  /** As long as nothing is known, each response is expected to be as long as clients may store. */
  private double meanBytes = MetaCommand.MAX_STORED_VALUE_BYTES;

  /** Adds the length of a response with a value. */
  void add(int bytes) {
    double smoothing = bytes > meanBytes ? SMOOTHING_LONGER_RESPONSES : SMOOTHING_RESPONSES;
    meanBytes += (bytes - meanBytes) / smoothing;
  }

  /** The expected length in bytes. */
  long expectedBytes() {
    return Math.round(meanBytes);
  }
}
