/** The configuration of a node: immutable, typed and valid, independent of the format from which it was read. */
package tansypass.node.configuration;
