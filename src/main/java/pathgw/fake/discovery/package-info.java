/**
 * A fake of the discovery service, which serves the endpoint list over HTTP, complete or as a
 * watch.
 *
 * <p>{@link pathgw.fake.discovery.FakeDiscovery} is the entry point, which the simulation calls to
 * change the list. The service has no connection to the servers in its list.
 */
package pathgw.fake.discovery;
