/**
 * Reports of runs, as text and as JSON, and plots. Scripts read the JSON, so its keys must not change.
 */
package tansypass.testbed.report;
