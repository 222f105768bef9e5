/**
 * The world round the proxies: cache nodes, origin, node list and clients as state machines without
 * I/O, which speak the protocol's bytes. The simulation plays them on a virtual clock; on sockets
 * they are the same. They keep their own reading of the protocol, so that a mistake of the proxy's
 * is not made twice. They never judge: what truly happened they tell a {@link
 * pathgw.fake.BackendObserver}.
 */
package pathgw.fake;
