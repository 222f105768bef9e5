package pathgw.discovery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pathgw.config.Address;
import pathgw.decision.EndpointState;

/**
 * Knows which endpoint has each address. A process that has started later than another one at the
 * same address has taken its place, whatever the list still says of the former: what is sent there
 * reaches the new process.
 */
final class AddressOwners {
  private final Map<String, Endpoint> listed = new HashMap<>();
  private final Map<Address, Endpoint> owners = new HashMap<>();

  /** Forgets all endpoints, since a complete list follows. */
  void clear() {
    listed.clear();
    owners.clear();
  }

  /**
   * Applies an update of the list.
   *
   * @return the update, in which each endpoint whose address is another's is gone; those that the
   *     update doesn't name and that are replaced by one of it are added as gone
   */
  List<Endpoint> apply(List<Endpoint> update) {
    List<Endpoint> result = new ArrayList<>(update.size());
    for (Endpoint endpoint : update) {
      leaveFormerAddress(endpoint);
      if (endpoint.state() == EndpointState.GONE) {
        result.add(endpoint);
      } else {
        claimAddress(endpoint, result);
      }
    }
    return result;
  }

  private void leaveFormerAddress(Endpoint endpoint) {
    Endpoint former = listed.remove(endpoint.host());
    if (former != null) {
      owners.remove(former.dial(), former);
    }
  }

  private void claimAddress(Endpoint endpoint, List<Endpoint> result) {
    Endpoint owner = owners.get(endpoint.dial());
    if (owner != null && owner.startedMillis() > endpoint.startedMillis()) {
      result.add(endpoint.gone());
      return;
    }
    if (owner != null && owner.startedMillis() < endpoint.startedMillis()) {
      leaveFormerAddress(owner);
      result.add(owner.gone());
    }
    listed.put(endpoint.host(), endpoint);
    owners.putIfAbsent(endpoint.dial(), endpoint);
    result.add(endpoint);
  }
}
