/** The list of the web servers that a node may send requests to, as typed values. */
package tansypass.node.endpoint;
