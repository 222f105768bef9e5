/**
 * Fakes of the servers behind the proxies: {@link pathgw.fake.server.FakeCacheNode} and {@link
 * pathgw.fake.server.FakeOrigin}, with bounded capacity, injected faults and deduplication by
 * idempotency keys.
 *
 * <p>The simulation creates the servers and changes their faults. The servers depend on neither the
 * endpoint list nor the clients, and don't check whether a proxy was allowed to send a request.
 */
package pathgw.fake.server;
