package pathgw.simulation.cluster;

import java.util.List;
import pathgw.fake.BackendObserver;
import pathgw.fake.Request;

/** Forwards every event to another observer; subclasses add to some. */
class ForwardingObserver implements BackendObserver {
  private final BackendObserver delegate;

  ForwardingObserver(BackendObserver delegate) {
    this.delegate = delegate;
  }

  @Override
  public void ran(String target, Request command, boolean deduplicated) {
    delegate.ran(target, command, deduplicated);
  }

  @Override
  public void turnedAway(String target, Request command) {
    delegate.turnedAway(target, command);
  }

  @Override
  public void missed(String target, Request command, boolean cold) {
    delegate.missed(target, command, cold);
  }

  @Override
  public void made(String target, Request command, String response) {
    delegate.made(target, command, response);
  }

  @Override
  public void pressed(double loadShare) {
    delegate.pressed(loadShare);
  }

  @Override
  public void pushedOver(String target, List<Arrival> arrivals) {
    delegate.pushedOver(target, arrivals);
  }

  @Override
  public void collapsed(List<Arrival> arrivals) {
    delegate.collapsed(arrivals);
  }

  @Override
  public void told(String proxy, String host, String health, long version) {
    delegate.told(proxy, host, health, version);
  }
}
