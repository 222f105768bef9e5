package pathgw.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.epoll.EpollTcpInfo;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/**
 * Asks the kernel for the state of TCP connections ({@code TCP_INFO}). The kernel knows of the end
 * of a connection while bytes that precede it are still unread here.
 */
final class VertxTransportTcpState {
  private static final Logger LOG = System.getLogger(VertxTransportTcpState.class.getName());

  // States in which the other side has ended its stream or reset the connection, as numbered in
  // netinet/tcp.h.
  private static final int TIME_WAIT = 6;
  private static final int CLOSE = 7;
  private static final int CLOSE_WAIT = 8;
  private static final int LAST_ACK = 9;
  private static final int CLOSING = 11;

  private final EpollTcpInfo info = new EpollTcpInfo();
  private boolean unavailable;

  /**
   * Whether the other side has ended its stream or the connection was reset; false as well if the
   * platform does not tell.
   */
  boolean isClosedByPeer(Channel channel) {
    if (!channel.isOpen()) {
      return true;
    }
    if (unavailable || !(channel instanceof EpollSocketChannel tcpChannel)) {
      return false;
    }
    try {
      tcpChannel.tcpInfo(info);
      return isClosedByPeer(info.state());
    } catch (ChannelException e) {
      if (!tcpChannel.isOpen()) {
        return true;
      }
      unavailable = true;
      LOG.log(Level.INFO, () -> "TCP_INFO is not available, connection ends are seen late: " + e);
      return false;
    }
  }

  private static boolean isClosedByPeer(int state) {
    return switch (state) {
      case TIME_WAIT, CLOSE, CLOSE_WAIT, LAST_ACK, CLOSING -> true;
      default -> false;
    };
  }
}
