/**
 * Service discovery: the watch on the endpoint list of the local discovery agent, and the parsing of the agent's
 * messages. {@link tansypass.node.discovery.EndpointWatch} runs on the node's event loop and reports to a listener.
 */
package tansypass.node.discovery;
