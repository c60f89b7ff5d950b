package tansypass.testbed.simulation;

import tansypass.cluster.membership.Membership;
import tansypass.cluster.membership.MembershipEnvironment;
import tansypass.cluster.membership.SwimProtocol;

/** Creates the membership protocol of each member of a {@link SimulatedCluster}. */
public interface MembershipFactory {
    /** The protocol of the product. */
    MembershipFactory SWIM = SwimProtocol::new;

    /** Creates a protocol instance that has not started. */
    Membership create(MembershipEnvironment environment);
}
