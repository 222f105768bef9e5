/**
 * Datagrams between the proxies of one fleet about how attempts to nodes ended.
 *
 * <p>The decision engine asks for a datagram after an attempt, and hears what other proxies sent.
 * Nothing is acknowledged or repeated: a datagram that is lost is missed, and changes only how soon
 * a proxy suspects a node. What other proxies say never replaces a proxy's own evidence.
 */
package pathgw.gossip;
