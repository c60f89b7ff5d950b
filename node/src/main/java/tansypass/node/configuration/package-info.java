/** A node's configuration: immutable, typed and valid, whatever form it was read from. */
package tansypass.node.configuration;
