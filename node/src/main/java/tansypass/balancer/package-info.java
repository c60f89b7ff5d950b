/**
 * The decision module: which server gets a request, when it is retried, queued or rejected. It has no sockets, no
 * threads and no clock: a {@link tansypass.balancer.LoadBalancer} is notified of events, with their time, and asks for
 * {@link tansypass.balancer.LoadBalancerActions}; the same events and the same seed give the same actions. The
 * decisions are made in {@link tansypass.balancer.WeightedTwoChoicesLoadBalancer} and the parts that it hands events to: the
 * files under {@code policy} in the deploy file. Each part gets those that it needs in its constructor, and the time of the
 * event as an argument; none needs one that needs it. The other classes are the types of the interface and general data
 * structures. After "Adaptive Request Modeling in
 * Clusters during Adverse States" (ServiceQ); docs/design.md has each departure from it, and the reasons of all
 * constants.
 */
package tansypass.balancer;
