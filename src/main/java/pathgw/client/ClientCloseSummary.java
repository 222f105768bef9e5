package pathgw.client;

/**
 * What a client connection held when it was closed.
 *
 * @param remoteAddress the address of the client
 * @param reason why it was closed
 * @param unansweredCommands the commands that were read and whose responses were pending
 * @param unsentBytes the response bytes that the network had not accepted
 * @param undeliveredBytes the bytes that the transport had read and not passed on
 * @param discardedBytes the bytes that arrived after the end of the output and were discarded
 */
public record ClientCloseSummary(
    String remoteAddress,
    ClientCloseReason reason,
    int unansweredCommands,
    long unsentBytes,
    long undeliveredBytes,
    long discardedBytes) {
  /** The summary of a connection that was closed before anything was read from it. */
  public static ClientCloseSummary unread(String remoteAddress) {
    return new ClientCloseSummary(remoteAddress, ClientCloseReason.REJECTED_UNREAD, 0, 0, 0, 0);
  }

  /** Whether the proxy closed the connection over commands, or over parts of responses. */
  public boolean isLossByProxy() {
    boolean isLoss = unansweredCommands > 0 || unsentBytes > 0 || undeliveredBytes > 0;
    return isLoss && reason != ClientCloseReason.CLIENT_LEFT;
  }

  @Override
  public String toString() {
    return "client "
        + remoteAddress
        + " connection closed: "
        + reason
        + ", unanswered commands "
        + unansweredCommands
        + ", unsent bytes "
        + unsentBytes
        + ", undelivered bytes "
        + undeliveredBytes
        + ", bytes discarded after the end "
        + discardedBytes;
  }
}
