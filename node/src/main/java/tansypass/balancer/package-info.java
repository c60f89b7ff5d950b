/**
 * The decision module: which server gets a request, when it is retried, queued or rejected. It has no sockets, no
 * threads and no clock: a {@link tansypass.balancer.LoadBalancer} is called with events and their time, and calls for
 * {@link tansypass.balancer.LoadBalancerActions}. The same events and seed give the same actions.
 *
 * <p>{@link tansypass.balancer.WeightedTwoChoicesLoadBalancer} hands each event to the parts that decide, which are
 * listed under {@code policy} in the deploy file. A part has its collaborators in its constructor, and no two parts
 * depend on each other. The other classes are the types of the interface and general data structures. The rules by
 * number are those of the protocol: 1 final responses, 2 retries, 3 draining servers, 4 slow start.
 *
 * <p>After "Adaptive Request Modeling in Clusters during Adverse States" (ServiceQ); docs/design.md has the mechanism
 * and each departure from the paper, docs/capacity.md the history of tuning.
 */
package tansypass.balancer;
