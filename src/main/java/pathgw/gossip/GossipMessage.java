package pathgw.gossip;

import io.vertx.core.buffer.Buffer;
import java.util.Optional;

/**
 * The content of one datagram: the id of a node in eight bytes, highest first, then one byte that
 * is 1 for an attempt that succeeded and 0 for one that failed.
 *
 * @param node the id of the node
 * @param success whether the attempt succeeded
 */
record GossipMessage(long node, boolean success) {
  private static final int NODE_OFFSET = 0;
  private static final int SUCCESS_OFFSET = Long.BYTES;
  private static final int LENGTH = SUCCESS_OFFSET + Byte.BYTES;
  private static final byte SUCCEEDED = 1;
  private static final byte FAILED = 0;

  Buffer encode() {
    return Buffer.buffer(LENGTH).appendLong(node).appendByte(success ? SUCCEEDED : FAILED);
  }

  /** Reads a datagram; one of another length is no message. */
  static Optional<GossipMessage> decode(Buffer datagram) {
    if (datagram.length() != LENGTH) {
      return Optional.empty();
    }
    boolean success = datagram.getByte(SUCCESS_OFFSET) != FAILED;
    return Optional.of(new GossipMessage(datagram.getLong(NODE_OFFSET), success));
  }
}
