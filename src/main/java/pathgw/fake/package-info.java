/**
 * Fakes of everything around the proxies, as state machines without I/O that speak the protocols'
 * bytes: cache nodes and origin in {@code server}, the discovery service in {@code discovery}, the
 * clients in {@code client}. This package holds what they share: clock, connections and requests.
 *
 * <p>The simulation runs them on a virtual clock and network. They never use the proxy's codecs but
 * read the protocols on their own, so that a mistake of the proxy is not made twice. They never
 * judge the proxies: they report what truly happened to a {@link pathgw.fake.BackendObserver} and a
 * {@code ClientObserver}.
 */
package pathgw.fake;
