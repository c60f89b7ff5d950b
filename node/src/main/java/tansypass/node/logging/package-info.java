/** The events that a node logs, all in one form: an event in words, then {@code key=value} fields. */
package tansypass.node.logging;
