/**
 * The client side of a node: accepts connections, reads requests and writes one response to each, in order.
 * {@link tansypass.node.frontend.HttpFrontend} owns the listening socket and the open connections. Each
 * {@link tansypass.node.frontend.ClientConnection} has a request reader, a queue of pipelined input and a response
 * writer. An {@link tansypass.node.frontend.Exchange} is one request with its response, and the only view of a client
 * that other packages have. Everything here runs on one event loop.
 */
package tansypass.node.frontend;
