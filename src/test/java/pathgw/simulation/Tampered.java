package pathgw.simulation;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import pathgw.config.Address;
import pathgw.net.Outside;
import pathgw.net.Pipe;
import pathgw.net.Watcher;

/** A proxy's world that a test changes here and there; all else passes through. */
class Tampered implements Outside {
  final Outside honest;

  Tampered(Outside honest) {
    this.honest = honest;
  }

  /** A connection that the proxy opened. */
  Pipe dialled(Pipe pipe, Address to) {
    return pipe;
  }

  /** A connection that came to the proxy. */
  Pipe arrived(Pipe pipe) {
    return pipe;
  }

  static boolean toList(Address to) {
    return to.host().startsWith("10.2.");
  }

  static boolean toNodes(Address to) {
    return to.host().startsWith("10.1.") || to.host().startsWith("10.3.");
  }

  static boolean toOrigin(Address to) {
    return to.host().startsWith("10.3.");
  }

  static boolean fromClients(Pipe pipe) {
    return pipe.there().host().startsWith("10.4.");
  }

  @Override
  public long nanos() {
    return honest.nanos();
  }

  @Override
  public long unixMillis() {
    return honest.unixMillis();
  }

  @Override
  public Runnable after(Duration span, Runnable what) {
    return honest.after(span, what);
  }

  @Override
  public Future<Pipe> dial(Address to, Duration within) {
    return honest.dial(to, within).map(pipe -> dialled(pipe, to));
  }

  @Override
  public Future<Integer> listen(Address at, Consumer<Pipe> taken) {
    return honest.listen(at, pipe -> taken.accept(arrived(pipe)));
  }

  @Override
  public BiConsumer<Buffer, Address> datagrams(Address at, BiConsumer<Buffer, Address> heard) {
    return honest.datagrams(at, heard);
  }

  @Override
  public Watcher watcher() {
    return honest.watcher();
  }

  /** One connection; all passes through but what a test overrides. */
  static class Through implements Pipe {
    final Pipe honest;

    Through(Pipe honest) {
      this.honest = honest;
    }

    @Override
    public void reads(Consumer<Buffer> came) {
      honest.reads(came);
    }

    @Override
    public void whenOver(Consumer<Over> over) {
      honest.whenOver(over);
    }

    @Override
    public void whenRoom(Runnable room) {
      honest.whenRoom(room);
    }

    @Override
    public Future<Void> write(Buffer bytes) {
      return honest.write(bytes);
    }

    @Override
    public boolean full() {
      return honest.full();
    }

    @Override
    public void pause() {
      honest.pause();
    }

    @Override
    public void resume() {
      honest.resume();
    }

    @Override
    public void close() {
      honest.close();
    }

    @Override
    public void endWriting() {
      honest.endWriting();
    }

    @Override
    public Address here() {
      return honest.here();
    }

    @Override
    public Address there() {
      return honest.there();
    }
  }
}
