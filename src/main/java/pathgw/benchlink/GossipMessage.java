package pathgw.benchlink;

import java.nio.ByteBuffer;

/**
 * The body of a message between instances: whether an attempt at a node succeeded.
 *
 * @param node the id of the attempt's node
 * @param success whether the attempt succeeded
 */
record GossipMessage(long node, boolean success) {
  /** Length of an encoded message: the node as u32 and the success flag as u8. */
  static final int BYTES = Integer.BYTES + Byte.BYTES;

  /** Appends the encoded message. */
  void writeTo(ByteBuffer body) {
    body.putInt((int) node).put((byte) (success ? 1 : 0));
  }

  /** Whether a received body has a message's length; the network may deliver other bodies too. */
  static boolean hasMessageLength(byte[] body) {
    return body.length == BYTES;
  }

  /** Decodes a body for which {@link #hasMessageLength} is true. */
  static GossipMessage read(byte[] body) {
    FrameReader fields = new FrameReader(body);
    long node = fields.u32("node");
    return new GossipMessage(node, fields.u8("success") != 0);
  }
}
