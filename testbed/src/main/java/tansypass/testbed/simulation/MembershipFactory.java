package tansypass.testbed.simulation;

import tansypass.cluster.membership.Membership;
import tansypass.cluster.membership.MembershipEnvironment;
import tansypass.cluster.membership.SwimProtocol;

/** Creates the membership protocol of each member of a {@link SimulatedCluster}. */
public interface MembershipFactory {
    /** Creates the product's protocol. */
    MembershipFactory SWIM = SwimProtocol::new;

    /** Creates a protocol instance that is not started. */
    Membership create(MembershipEnvironment environment);
}
