/**
 * Other protocols, as baselines for measurements of the product's protocols.
 */
package tansypass.testbed.baseline;
