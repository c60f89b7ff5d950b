/**
 * The parts that runs in virtual time and runs on real processes share: models of web servers, discovery, links, load
 * and faults, without sockets or clocks of their own. Single-threaded: each run calls them from one thread.
 */
package tansypass.testbed.model;
