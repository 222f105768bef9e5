package pathgw.simulation;

import java.util.List;
import pathgw.fake.BackendObserver;
import pathgw.fake.Request;

/** Passes on what it hears. */
class ForwardingObserver implements BackendObserver {
  private final BackendObserver to;

  ForwardingObserver(BackendObserver to) {
    this.to = to;
  }

  @Override
  public void requestAccepted(String place, Request request, boolean again) {
    to.requestAccepted(place, request, again);
  }

  @Override
  public void requestRejected(String place, Request request) {
    to.requestRejected(place, request);
  }

  @Override
  public void cacheMissed(String place, Request request, boolean cold) {
    to.cacheMissed(place, request, cold);
  }

  @Override
  public void replyCreated(String place, Request request, String answer) {
    to.replyCreated(place, request, answer);
  }

  @Override
  public void coldNodeLoad(double part) {
    to.coldNodeLoad(part);
  }

  @Override
  public void coldNodeCrashed(String place, List<Arrival> work) {
    to.coldNodeCrashed(place, work);
  }

  @Override
  public void originWentDown(List<Arrival> work) {
    to.originWentDown(work);
  }

  @Override
  public void endpointNotified(String proxy, String host, String health, long version) {
    to.endpointNotified(proxy, host, health, version);
  }
}
