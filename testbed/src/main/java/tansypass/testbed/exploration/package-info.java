/** Searches for schedules of random faults that violate an invariant, and shrinks those that it finds. */
package tansypass.testbed.exploration;
