/**
 * The network transport of the membership protocol, on a Netty event loop of its own: UDP for datagrams, and HTTP/1.1
 * for push-pull syncs and the view page.
 */
package tansypass.cluster.transport;
