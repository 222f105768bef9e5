package pathgw.simulation.cluster;

import java.util.List;
import pathgw.fake.BackendObserver;
import pathgw.fake.Request;

/** Forwards every event to another observer; subclasses override some methods. */
class ForwardingObserver implements BackendObserver {
  private final BackendObserver delegate;

  ForwardingObserver(BackendObserver delegate) {
    this.delegate = delegate;
  }

  @Override
  public void requestAccepted(String target, Request command, boolean deduplicated) {
    delegate.requestAccepted(target, command, deduplicated);
  }

  @Override
  public void requestRejected(String target, Request command) {
    delegate.requestRejected(target, command);
  }

  @Override
  public void cacheMissed(String target, Request command, boolean cold) {
    delegate.cacheMissed(target, command, cold);
  }

  @Override
  public void replyCreated(String target, Request command, String response) {
    delegate.replyCreated(target, command, response);
  }

  @Override
  public void coldNodeLoad(double loadShare) {
    delegate.coldNodeLoad(loadShare);
  }

  @Override
  public void coldNodeCrashed(String target, List<Arrival> arrivals) {
    delegate.coldNodeCrashed(target, arrivals);
  }

  @Override
  public void originWentDown(List<Arrival> arrivals) {
    delegate.originWentDown(arrivals);
  }

  @Override
  public void endpointNotified(String proxy, String host, String health, long version) {
    delegate.endpointNotified(proxy, host, health, version);
  }
}
