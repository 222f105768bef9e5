package pathgw.decision;

/** The decision on a request that needs a value from the origin. */
enum FetchAdmission {
  /** The value is fetched now. */
  SEND,
  /** The request waits for another request's fetch of the same key or for a free slot. */
  WAIT,
  /** The request would wait longer than its remaining time allows. */
  REJECT
}
