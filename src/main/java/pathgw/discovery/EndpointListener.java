package pathgw.discovery;

import java.util.Set;

/** Hears of every change of the endpoint list, before a decision is made with it. */
public interface EndpointListener {
  /** A complete list has come: endpoints that it does not name are gone. */
  void keepOnly(Set<Long> ids);

  /** An endpoint is new or has changed. */
  void update(Endpoint endpoint);
}
