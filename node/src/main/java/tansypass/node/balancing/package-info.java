/**
 * The connection between the node and the load balancer ({@link tansypass.balancer.LoadBalancer}): serialised calls,
 * the load balancer's clock and timer, and the conversion of endpoint lists. The code runs on the node's event loop.
 */
package tansypass.node.balancing;
