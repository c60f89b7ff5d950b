package tansypass.cluster.membership;

import java.net.InetSocketAddress;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import tansypass.cluster.runtime.Scheduler;

/**
 * The dependencies that are injected into a membership protocol.
 *
 * @param settings the periods, timeouts and limits of the protocol
 * @param self the identity of the process that runs the protocol
 * @param seeds the addresses through which the process joins the cluster; the constructor removes the address of the
 *     process itself
 * @param scheduler the clock and timers; all calls of the protocol come from its thread
 * @param random the random numbers for jitter and for the choice of peers
 * @param network sends datagrams and push-pull syncs, and delivers the results of syncs on the thread of the scheduler
 * @param listener receives each change of the view, on the thread of the scheduler
 */
public record MembershipEnvironment(
        MembershipSettings settings,
        Identity self,
        List<InetSocketAddress> seeds,
        Scheduler scheduler,
        UniformRandomProvider random,
        Network network,
        MemberListener listener) {

    /** Creates an environment, without the address of the process itself among the seeds. */
    public MembershipEnvironment {
        InetSocketAddress ownAddress = self.address();
        seeds = seeds.stream().filter(seed -> !seed.equals(ownAddress)).toList();
    }
}
