/**
 * A node as a process: its start, reload and graceful shutdown, its signals, and the connections between its parts in
 * {@link tansypass.node.process.ProxyNode}.
 */
package tansypass.node.process;
