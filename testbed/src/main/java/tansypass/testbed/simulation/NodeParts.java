package tansypass.testbed.simulation;

import tansypass.balancer.BalancerSettings;
import tansypass.balancer.LoadBalancer;
import tansypass.balancer.LoadBalancerActions;
import tansypass.balancer.WeightedTwoChoicesLoadBalancer;
import tansypass.cluster.membership.MembershipSettings;

/** Makes the parts of a simulated node; a test replaces one by a faulty one. */
public interface NodeParts {
    /** The product's own parts. */
    NodeParts PRODUCT = new NodeParts() {};

    /** Makes the balancer of a node. */
    default LoadBalancer createBalancer(BalancerSettings settings, long seed, LoadBalancerActions actions) {
        return new WeightedTwoChoicesLoadBalancer(settings, seed, actions);
    }

    /** Returns the settings of the nodes' membership protocol. */
    default MembershipSettings membershipSettings(MembershipSettings settings) {
        return settings;
    }

    /** Returns the network that a node gets, given the one of the run. */
    default SimulatedNetwork wrapNetwork(SimulatedNetwork network) {
        return network;
    }
}
