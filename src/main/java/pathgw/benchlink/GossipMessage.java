package pathgw.benchlink;

import java.nio.ByteBuffer;

/**
 * The body of a message between instances: how an attempt to a node went.
 *
 * @param node the node of the attempt
 * @param success whether the attempt succeeded
 */
record GossipMessage(long node, boolean success) {
  /** Length of an encoded message: the node as u32 and the success flag as u8. */
  static final int BYTES = Integer.BYTES + Byte.BYTES;

  /** Appends the message in its wire form. */
  void writeTo(ByteBuffer body) {
    body.putInt((int) node).put((byte) (success ? 1 : 0));
  }

  /** Whether a received body can be a message; the network may deliver anything else too. */
  static boolean hasMessageLength(byte[] body) {
    return body.length == BYTES;
  }

  /** Decodes a body that {@link #hasMessageLength}. */
  static GossipMessage read(byte[] body) {
    FrameReader fields = new FrameReader(body);
    long node = fields.u32("node");
    return new GossipMessage(node, fields.u8("success") != 0);
  }
}
