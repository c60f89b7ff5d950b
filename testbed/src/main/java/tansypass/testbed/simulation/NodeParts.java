package tansypass.testbed.simulation;

import tansypass.balancer.BalancerSettings;
import tansypass.balancer.LoadBalancer;
import tansypass.balancer.LoadBalancerActions;
import tansypass.balancer.WeightedTwoChoicesLoadBalancer;
import tansypass.cluster.membership.MembershipSettings;

/** Creates the parts of a simulated node. Tests replace one of them by a faulty part. */
public interface NodeParts {
    /** Creates the product's parts, without any fault. */
    NodeParts PRODUCT = new NodeParts() {};

    /** Creates the balancer of a node. */
    default LoadBalancer createBalancer(BalancerSettings settings, long seed, LoadBalancerActions actions) {
        return new WeightedTwoChoicesLoadBalancer(settings, seed, actions);
    }

    /** Returns the settings of the membership protocol, given those of the scenario. */
    default MembershipSettings membershipSettings(MembershipSettings settings) {
        return settings;
    }

    /** Returns the network that a node uses: the run's network or a wrapper around it. */
    default SimulatedNetwork wrapNetwork(SimulatedNetwork network) {
        return network;
    }
}
