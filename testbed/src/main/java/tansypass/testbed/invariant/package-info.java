/**
 * Checks invariants on the events that a run reports, and collects the statistics of the run and the hash of its
 * trace. The package is the same for runs in virtual time and on real processes.
 */
package tansypass.testbed.invariant;
