/**
 * A node as a process: its start, reload and graceful shutdown, its signals, and the wiring of its parts in
 * {@link tansypass.node.process.ProxyNode}.
 */
package tansypass.node.process;
