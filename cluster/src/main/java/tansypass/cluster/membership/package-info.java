/**
 * Cluster membership: which processes are present, which have left and which have failed.
 *
 * <p>{@link tansypass.cluster.membership.SwimProtocol} implements SWIM with Lifeguard as a state machine without
 * sockets, clock or threads of its own. These are injected, so the same code runs on an event loop and in virtual time.
 * All times are microseconds. docs/membership.md lists the guarantees of the protocol and its differences from the
 * papers.
 */
package tansypass.cluster.membership;
