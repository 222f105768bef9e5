/**
 * The clients of all proxies: random traffic, retries, connection reuse, and some clients that send
 * malformed commands.
 *
 * <p>{@link pathgw.fake.client.FakeClients} is the entry point, which the simulation calls. The
 * clients know nothing about what happens behind the proxies, and judge nothing: what they see goes
 * to a {@link pathgw.fake.client.ClientObserver}.
 */
package pathgw.fake.client;
