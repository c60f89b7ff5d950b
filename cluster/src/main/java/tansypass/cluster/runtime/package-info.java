/**
 * The clock, timers and random numbers that are injected into the state machines of the cluster. In a real process an
 * event loop provides the clock and timers; in a simulation, virtual time does, and all random numbers follow from one
 * seed.
 */
package tansypass.cluster.runtime;
