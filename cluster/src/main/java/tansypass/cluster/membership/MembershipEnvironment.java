package tansypass.cluster.membership;

import java.net.InetSocketAddress;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import tansypass.cluster.runtime.Scheduler;

/**
 * What is injected into a membership protocol.
 *
 * @param settings the protocol's periods, timeouts and limits
 * @param self the identity of its process
 * @param seeds addresses to join through; the process's own may be among those given, and is left out
 * @param scheduler clock and timers; its thread makes all calls of the protocol
 * @param random for jitter and the choice of peers
 * @param network sends datagrams and push-pull syncs; delivers its results on the scheduler's thread
 * @param listener called on the scheduler's thread with each change of the view
 */
public record MembershipEnvironment(
        MembershipSettings settings,
        Identity self,
        List<InetSocketAddress> seeds,
        Scheduler scheduler,
        UniformRandomProvider random,
        Network network,
        MemberListener listener) {

    /** Creates an environment. */
    public MembershipEnvironment {
        InetSocketAddress ownAddress = self.address();
        seeds = seeds.stream().filter(seed -> !seed.equals(ownAddress)).toList();
    }
}
