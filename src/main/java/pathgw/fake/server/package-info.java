/**
 * The servers behind the proxies: {@link pathgw.fake.server.FakeCacheNode} and {@link
 * pathgw.fake.server.FakeOrigin}, with limits, faults and idempotency keys.
 *
 * <p>The simulation creates them and changes their faults. They know nothing about the endpoint
 * list or the clients, and never check whether a proxy was right to send a request.
 */
package pathgw.fake.server;
