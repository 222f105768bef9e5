/**
 * Fakes of all peers of the proxies, as state machines without I/O that exchange the bytes of the
 * real protocols: cache nodes and origin in {@code server}, the discovery service in {@code
 * discovery}, the clients in {@code client}. This package holds what they share: clock, connections
 * and requests.
 *
 * <p>The simulation runs the fakes on a virtual clock and network. They parse the protocols
 * themselves instead of using the proxy's codecs, so that a fault in a codec isn't hidden by the
 * same fault on the other side. They don't check the behavior of the proxies: they report the
 * actual events to a {@link pathgw.fake.BackendObserver} and a {@code ClientObserver}.
 */
package pathgw.fake;
