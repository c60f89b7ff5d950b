/**
 * Scenarios describe the nodes, servers, load and faults of a run. The package has their records, and reads and writes
 * their files; it reports each error in a file with its line. It uses no threads or sockets.
 */
package tansypass.testbed.scenario;
