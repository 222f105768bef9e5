package pathgw.transport;

import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.internal.ContextInternal;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import pathgw.config.Address;

/**
 * Accepts connections on the event loop that also serves them. The listener of Vert.x accepts on a
 * thread of its own, which runs ahead of the event loop: a crowd that connects at once uses up the
 * descriptors before any of its connections can be counted or closed. It then also accepts nothing
 * for a second, while the requests on waiting connections expire unseen.
 */
final class VertxTransportListener extends ChannelInboundHandlerAdapter {
  private static final Logger LOG = System.getLogger(VertxTransportListener.class.getName());
  private static final int ACCEPT_BACKLOG = 1024;
  private static final int MIN_READ_BYTES = 512;
  private static final int INITIAL_READ_BYTES = 2048;
  private static final int MAX_READ_BYTES = 16 * 1024;
  private static final long MAX_UNSENT_BYTES_IN_KERNEL = 128 * 1024;

  /** Connections accepted in one iteration of the event loop; others wait for the next one. */
  private static final int MAX_ACCEPTED_PER_ITERATION = 16;

  private static final long RETRY_DELAY_MS = 5;

  private final ContextInternal context;
  private final LongSupplier nanoClock;
  private final VertxTransportTcpState tcpState;
  private final AcceptHandler handler;

  private final AcceptQueueMonitor queue = new AcceptQueueMonitor(MAX_ACCEPTED_PER_ITERATION);

  /**
   * Creates a listener whose callbacks run on the event loop of a context.
   *
   * @param nanoClock the transport's monotonic clock
   * @param tcpState tells whether accepted connections have been closed by their clients
   * @param handler receives each accepted connection
   */
  VertxTransportListener(
      ContextInternal context,
      LongSupplier nanoClock,
      VertxTransportTcpState tcpState,
      AcceptHandler handler) {
    this.context = context;
    this.nanoClock = nanoClock;
    this.tcpState = tcpState;
    this.handler = handler;
  }

  /** Starts to listen and returns the port. */
  Future<Integer> listen(Address at) {
    Promise<Integer> listening = context.promise();
    Channel server = newServerChannel();
    server.config().setOption(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG);
    server.config().setOption(ChannelOption.SO_REUSEADDR, true);
    server.config().setRecvByteBufAllocator(acceptSeveralPerIteration());
    server.pipeline().addLast(this);
    var unused =
        context
            .nettyEventLoop()
            .register(server)
            .addListener(registered -> bind(server, at, listening));
    return listening.future();
  }

  /**
   * Accepts until the maximum is reached or the queue is empty, which then is known for certain.
   */
  private static RecvByteBufAllocator acceptSeveralPerIteration() {
    return new ServerChannelRecvByteBufAllocator()
        .respectMaybeMoreData(false)
        .maxMessagesPerRead(MAX_ACCEPTED_PER_ITERATION);
  }

  private Channel newServerChannel() {
    return context.owner().isNativeTransportEnabled()
        ? new EpollServerSocketChannel()
        : new NioServerSocketChannel();
  }

  private static void bind(Channel server, Address at, Promise<Integer> listening) {
    var unused =
        server
            .bind(new InetSocketAddress(at.host(), at.port()))
            .addListener(
                bound -> {
                  if (bound.isSuccess()) {
                    listening.complete(((InetSocketAddress) server.localAddress()).getPort());
                  } else {
                    server.unsafe().closeForcibly();
                    listening.fail(bound.cause());
                  }
                });
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object accepted) {
    Channel channel = (Channel) accepted;
    long arrivedAfterNanos = queue.accepted(lastEmptyNanos());
    channel.config().setOption(ChannelOption.TCP_NODELAY, true);
    limitUnsentBytesInKernel(channel);
    channel.config().setRecvByteBufAllocator(limitedReads());
    channel.config().setOption(ChannelOption.ALLOCATOR, PooledByteBufAllocator.DEFAULT);
    channel
        .pipeline()
        .addLast(
            new VertxTransportAcceptedConnection(
                context, channel, tcpState, nanoClock, arrivedAfterNanos, handler::accepted));
    var unused = context.nettyEventLoop().register(channel);
  }

  /** Reads little from one client in one iteration, so that the others get their turn. */
  private static RecvByteBufAllocator limitedReads() {
    return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
        .maxMessagesPerRead(1);
  }

  /**
   * Without the limit the kernel accepts megabytes for a client that reads slowly, and tells of no
   * progress until the client has read a third of them.
   */
  private static void limitUnsentBytesInKernel(Channel channel) {
    if (channel instanceof EpollSocketChannel) {
      try {
        channel
            .config()
            .setOption(EpollChannelOption.TCP_NOTSENT_LOWAT, MAX_UNSENT_BYTES_IN_KERNEL);
      } catch (ChannelException e) {
        LOG.log(Level.DEBUG, () -> "TCP_NOTSENT_LOWAT is not available: " + e);
      }
    }
  }

  /** When the accept queue was last empty, if it was so in the previous iteration of the loop. */
  private long lastEmptyNanos() {
    return nanoClock.getAsLong() - handler.eventLoopLag().toNanos();
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    queue.iterationEnded();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    OutOfMemoryExit.check(cause);
    Channel server = ctx.channel();
    if (!server.isOpen()) {
      return;
    }
    queue.failed(lastEmptyNanos());
    server.config().setAutoRead(false);
    context.emit(cause, handler::acceptFailed);
    var unused =
        server
            .eventLoop()
            .schedule(
                () -> server.config().setAutoRead(true), RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
  }
}
