package pathgw.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.ContextInternal;
import io.vertx.core.internal.PromiseInternal;
import io.vertx.core.internal.buffer.BufferInternal;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import pathgw.config.Address;

/** One accepted TCP connection. */
final class VertxTransportAcceptedConnection extends ChannelInboundHandlerAdapter
    implements Connection {
  private static final Logger LOG =
      System.getLogger(VertxTransportAcceptedConnection.class.getName());

  private final ContextInternal context;
  private final Channel channel;
  private final VertxTransportTcpState tcpState;
  private final LongSupplier nanoClock;
  private final long arrivedAfterNanos;
  private final Consumer<Connection> onAccept;
  private final Address localAddress;
  private final Address remoteAddress;

  /** Bytes that were received and not delivered yet. */
  private final ArrayDeque<Buffer> unread = new ArrayDeque<>();

  private Consumer<Buffer> dataHandler = bytes -> {};
  private Consumer<CloseReason> closeHandler = reason -> {};
  private Runnable writableHandler = () -> {};
  private boolean paused;
  private boolean deliveryScheduled;
  private boolean broken;
  private long undeliveredBytes;

  /** The bytes that {@link #close} dropped unsent. */
  private long unsentBytesAtClose;

  /**
   * Creates the connection of a channel, which is not registered with the event loop yet.
   *
   * @param arrivedAfterNanos a time on the clock before which the connection had not arrived
   * @param onAccept receives the connection once it can be used
   */
  VertxTransportAcceptedConnection(
      ContextInternal context,
      Channel channel,
      VertxTransportTcpState tcpState,
      LongSupplier nanoClock,
      long arrivedAfterNanos,
      Consumer<Connection> onAccept) {
    this.context = context;
    this.channel = channel;
    this.tcpState = tcpState;
    this.nanoClock = nanoClock;
    this.arrivedAfterNanos = arrivedAfterNanos;
    this.onAccept = onAccept;
    localAddress = address(channel.localAddress());
    remoteAddress = address(channel.remoteAddress());
  }

  private static Address address(SocketAddress address) {
    InetSocketAddress inetAddress = (InetSocketAddress) address;
    return new Address(inetAddress.getAddress().getHostAddress(), inetAddress.getPort());
  }

  // Events of the channel.

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    context.emit(this, onAccept::accept);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    ByteBuf received = (ByteBuf) message;
    Buffer bytes;
    try {
      bytes = Buffer.buffer(ByteBufUtil.getBytes(received));
    } finally {
      received.release();
    }
    unread.add(bytes);
    undeliveredBytes += bytes.length();
    scheduleDelivery();
  }

  /**
   * Schedules the delivery behind all that this iteration of the event loop reads, so that the end
   * of a connection is known before its last bytes are handled.
   */
  private void scheduleDelivery() {
    if (!deliveryScheduled) {
      deliveryScheduled = true;
      channel.eventLoop().execute(this::deliverUnread);
    }
  }

  private void deliverUnread() {
    deliveryScheduled = false;
    while (!paused && channel.isOpen() && !unread.isEmpty()) {
      Buffer bytes = unread.poll();
      undeliveredBytes -= bytes.length();
      context.emit(bytes, delivered -> dataHandler.accept(delivered));
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    unread.clear();
    CloseReason reason = broken ? CloseReason.BROKEN : CloseReason.END_OF_STREAM;
    context.emit(reason, closed -> closeHandler.accept(closed));
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (channel.isWritable()) {
      context.emit(ignored -> writableHandler.run());
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    OutOfMemoryExit.check(cause);
    if (cause instanceof IOException) {
      LOG.log(Level.DEBUG, () -> remoteAddress + ": connection error: " + cause);
    } else {
      LOG.log(
          Level.ERROR,
          "client " + remoteAddress + " connection closed: internal error while reading or writing",
          cause);
    }
    close();
  }

  // Operations of the proxy.

  @Override
  public void onData(Consumer<Buffer> handler) {
    dataHandler = handler;
  }

  @Override
  public void onClose(Consumer<CloseReason> handler) {
    closeHandler = handler;
  }

  @Override
  public void onWritable(Runnable handler) {
    writableHandler = handler;
  }

  @Override
  public Future<Void> write(Buffer bytes) {
    PromiseInternal<Void> written = context.promise();
    var unused = channel.writeAndFlush(((BufferInternal) bytes).getByteBuf()).addListener(written);
    return written
        .future()
        .onFailure(
            e -> {
              OutOfMemoryExit.check(e);
              broken = true;
            });
  }

  @Override
  public boolean isWriteQueueFull() {
    return !channel.isWritable();
  }

  @Override
  public void pause() {
    paused = true;
    channel.config().setAutoRead(false);
  }

  @Override
  public void resume() {
    if (!paused) {
      return;
    }
    paused = false;
    scheduleDelivery();
    channel.config().setAutoRead(true);
  }

  /** Closes the channel at once, without waiting until all queued bytes are sent. */
  @Override
  public void close() {
    broken = true;
    unsentBytesAtClose = unsentBytes();
    channel.unsafe().close(channel.voidPromise());
  }

  @Override
  public void shutdownOutput() {
    var unused = ((DuplexChannel) channel).shutdownOutput();
  }

  @Override
  public long undeliveredBytes() {
    return undeliveredBytes;
  }

  @Override
  public long unsentBytes() {
    ChannelOutboundBuffer queue = channel.unsafe().outboundBuffer();
    return queue == null ? unsentBytesAtClose : queue.totalPendingWriteBytes();
  }

  @Override
  public boolean isClosedByPeer() {
    return tcpState.isClosedByPeer(channel);
  }

  @Override
  public Duration maxTimeSinceArrival() {
    return Duration.ofNanos(nanoClock.getAsLong() - arrivedAfterNanos);
  }

  @Override
  public Address localAddress() {
    return localAddress;
  }

  @Override
  public Address remoteAddress() {
    return remoteAddress;
  }

  Channel channel() {
    return channel;
  }
}
