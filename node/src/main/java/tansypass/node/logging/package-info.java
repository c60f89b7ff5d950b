/**
 * The events that a node logs. All log lines have the same format: the event in words, then {@code key=value} fields.
 */
package tansypass.node.logging;
