/**
 * Checks invariants on the events that a run reports, and collects the statistics of the run and the hash of its
 * trace. Runs in virtual time and runs on real processes use the same checks.
 */
package tansypass.testbed.invariant;
