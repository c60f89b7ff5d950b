/**
 * The requests in flight between clients and web servers, with their attempts and deadlines, and the execution of the
 * load balancer's actions on them. All classes run on the node's event loop.
 */
package tansypass.node.request;
