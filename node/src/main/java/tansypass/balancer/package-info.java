/**
 * The load balancer, which decides which server gets a request, and when a request is retried, queued or rejected. It
 * has no sockets, no threads and no clock: a {@link tansypass.balancer.LoadBalancer} is called with events and their
 * times, and responds by calls of {@link tansypass.balancer.LoadBalancerActions}. The same events and seed give the
 * same actions.
 *
 * <p>{@link tansypass.balancer.WeightedTwoChoicesLoadBalancer} passes each event to the classes that make the
 * decisions. These classes are listed under {@code policy} in the deploy file. Each of them gets its collaborators in
 * its constructor, and there are no circular dependencies. The other classes are the types of the interface and general
 * data structures. Comments refer to the rules of the protocol by number: 1 final responses, 2 retries, 3 draining
 * servers, 4 slow start.
 *
 * <p>The algorithm is based on "Adaptive Request Modeling in Clusters during Adverse States" (ServiceQ). docs/design.md
 * describes it and each departure from the paper; docs/capacity.md has the history of its tuning.
 */
package tansypass.balancer;
