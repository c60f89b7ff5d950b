/**
 * Simulated runs in virtual time. The product's balancer and membership protocol run on an event queue, with simulated
 * processes and links. Equal scenarios and seeds give equal traces.
 */
package tansypass.testbed.simulation;
