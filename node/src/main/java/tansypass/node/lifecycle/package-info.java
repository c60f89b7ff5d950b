/**
 * Process-wide state and resources: the serving state, file descriptors, the listening socket, and the event loop's
 * polls.
 */
package tansypass.node.lifecycle;
