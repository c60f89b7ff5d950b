/**
 * The path of a request between its client and the web servers: the requests in flight, their attempts and deadlines,
 * and the actions that the decision module requests on them. It runs on the node's event loop.
 */
package tansypass.node.request;
