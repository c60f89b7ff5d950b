/**
 * A proxy node and its entry point {@link tansypass.node.Main}. The packages are layered, and each of them uses only
 * those listed after it: {@code process} (start, signals, creation of the parts), {@code warmup}, {@code request}
 * (requests in flight), {@code balancing} (calls to the load balancer), {@code frontend} (clients), {@code admin},
 * {@code upstream} (web servers), {@code discovery} (the watch on the endpoint list), {@code configuration},
 * {@code lifecycle} (state and resources of the process), {@code http} (messages), {@code endpoint} (endpoint lists)
 * and {@code logging}. Unless a class says otherwise, everything runs on one event loop.
 */
package tansypass.node;
