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
  public void ran(String place, Request request, boolean again) {
    to.ran(place, request, again);
  }

  @Override
  public void turnedAway(String place, Request request) {
    to.turnedAway(place, request);
  }

  @Override
  public void missed(String place, Request request, boolean cold) {
    to.missed(place, request, cold);
  }

  @Override
  public void made(String place, Request request, String answer) {
    to.made(place, request, answer);
  }

  @Override
  public void pressed(double part) {
    to.pressed(part);
  }

  @Override
  public void pushedOver(String place, List<Arrival> work) {
    to.pushedOver(place, work);
  }

  @Override
  public void collapsed(List<Arrival> work) {
    to.collapsed(work);
  }

  @Override
  public void told(String proxy, String host, String health, long version) {
    to.told(proxy, host, health, version);
  }
}
