package tansypass.testbed.simulation;

import java.net.InetSocketAddress;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import tansypass.cluster.membership.Identity;
import tansypass.cluster.membership.MemberListener;
import tansypass.cluster.membership.Membership;
import tansypass.cluster.membership.MembershipSettings;
import tansypass.cluster.membership.Network;
import tansypass.cluster.membership.SwimProtocol;
import tansypass.cluster.runtime.Scheduler;

/** Creates the membership protocol of each member of a {@link SimulatedCluster}. */
public interface MembershipFactory {
    /** The protocol of the product. */
    MembershipFactory SWIM = SwimProtocol::new;

    /**
     * Creates a protocol instance that has not started.
     *
     * @param seeds addresses of members to join through
     * @param listener receives each change of the view
     */
    Membership create(
            MembershipSettings settings,
            Identity self,
            List<InetSocketAddress> seeds,
            Scheduler scheduler,
            UniformRandomProvider random,
            Network network,
            MemberListener listener);
}
