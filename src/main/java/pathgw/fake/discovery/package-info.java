/**
 * The discovery service: the endpoint list over HTTP, complete or as a watch.
 *
 * <p>{@link pathgw.fake.discovery.FakeDiscovery} is the entry point, which the simulation calls to
 * change the list. The service knows nothing about the servers that it lists.
 */
package pathgw.fake.discovery;
