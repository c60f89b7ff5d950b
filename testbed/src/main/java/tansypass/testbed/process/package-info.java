/**
 * Runs of scenarios on real processes of the program. Nodes are child processes; web servers, discovery agents, links
 * and clients use sockets on one event loop. All addresses are loopback addresses.
 */
package tansypass.testbed.process;
