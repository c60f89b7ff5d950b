/** The warm-up of a process that has just started by synthetic requests, before the node listens for clients. */
package tansypass.node.warmup;
