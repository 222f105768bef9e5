package pathgw.simulation;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.function.Consumer;
import pathgw.config.Address;
import pathgw.transport.Connection;

/** Forwards every call to another connection; a test overrides the methods that it changes. */
class ForwardingConnection implements Connection {
  final Connection delegate;

  ForwardingConnection(Connection delegate) {
    this.delegate = delegate;
  }

  @Override
  public void onData(Consumer<Buffer> handler) {
    delegate.onData(handler);
  }

  @Override
  public void onClose(Consumer<CloseReason> handler) {
    delegate.onClose(handler);
  }

  @Override
  public void onWritable(Runnable handler) {
    delegate.onWritable(handler);
  }

  @Override
  public Future<Void> write(Buffer bytes) {
    return delegate.write(bytes);
  }

  @Override
  public boolean isWriteQueueFull() {
    return delegate.isWriteQueueFull();
  }

  @Override
  public void pause() {
    delegate.pause();
  }

  @Override
  public void resume() {
    delegate.resume();
  }

  @Override
  public void close() {
    delegate.close();
  }

  @Override
  public void shutdownOutput() {
    delegate.shutdownOutput();
  }

  @Override
  public Duration maxTimeSinceArrival() {
    return delegate.maxTimeSinceArrival();
  }

  @Override
  public boolean isClosedByPeer() {
    return delegate.isClosedByPeer();
  }

  @Override
  public long undeliveredBytes() {
    return delegate.undeliveredBytes();
  }

  @Override
  public long unsentBytes() {
    return delegate.unsentBytes();
  }

  @Override
  public Address localAddress() {
    return delegate.localAddress();
  }

  @Override
  public Address remoteAddress() {
    return delegate.remoteAddress();
  }
}
