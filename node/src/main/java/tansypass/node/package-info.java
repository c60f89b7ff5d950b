/**
 * A proxy node and its entry point {@link tansypass.node.Main}. Packages, each of which uses only those after it:
 * {@code process} (start, signals, wiring), {@code warmup}, {@code request} (requests in flight), {@code balancing}
 * (calls of the decision module), {@code frontend} (clients), {@code admin}, {@code upstream} (web servers),
 * {@code discovery} (the watch on the endpoint list), {@code configuration}, {@code lifecycle} (state and resources of
 * the process), {@code http} (messages), {@code endpoint} (endpoint lists) and {@code logging}. Unless said otherwise,
 * all of it runs on one event loop.
 */
package tansypass.node;
