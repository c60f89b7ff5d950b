/**
 * The pool of connections to the web servers, and the attempts that are sent on them. This package neither retries
 * attempts nor selects servers. All classes run on the node's one event loop.
 */
package tansypass.node.upstream;
