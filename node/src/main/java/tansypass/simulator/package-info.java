/**
 * The adapter that runs the load balancer inside the simulator. It reads events as lines of text from standard input
 * and writes actions to standard output. The names in these lines belong to the simulator's protocol.
 */
package tansypass.simulator;
