/**
 * A proxy node: the entry point {@link tansypass.node.Main} and the configuration. Packages, each of which uses only
 * those after it: {@code process} (start, signals, wiring), {@code warmup}, {@code request} (requests in flight),
 * {@code balancing} (calls of the decision module), {@code frontend} (clients), {@code admin}, {@code upstream} (web
 * servers), {@code discovery} (endpoint lists), {@code lifecycle} (state and resources of the process), {@code http}
 * (messages) and {@code logging}. Unless said otherwise, all of it runs on one event loop.
 */
package tansypass.node;
