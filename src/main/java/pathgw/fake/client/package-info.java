/**
 * Fakes of the clients of all proxies: random traffic, retries, connection reuse, and some clients
 * that send malformed commands.
 *
 * <p>{@link pathgw.fake.client.FakeClients} is the entry point, which the simulation calls. The
 * clients depend on nothing behind the proxies and don't check whether an answer is correct: they
 * report all events to a {@link pathgw.fake.client.ClientObserver}.
 */
package pathgw.fake.client;
