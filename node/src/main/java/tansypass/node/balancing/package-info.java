/**
 * The connection to the decision module ({@link tansypass.balancer.LoadBalancer}): serialised calls, its clock and its
 * timer, and the endpoint lists in its terms. It runs on the node's event loop.
 */
package tansypass.node.balancing;
