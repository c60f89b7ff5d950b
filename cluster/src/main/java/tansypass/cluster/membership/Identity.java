package tansypass.cluster.membership;

import java.net.InetSocketAddress;

/**
 * The identity of a process. A restarted process has the same name and a later generation. The nonce distinguishes two
 * processes that were configured with the same name and have the same generation.
 *
 * @param name the name of the process, which is unique in the cluster and does not change on a restart
 * @param generation a number that grows with each start: the Unix time in milliseconds, or one more than the highest
 *     generation of this name that the process has learned of
 * @param nonce a random number, drawn at the start of the process
 * @param zone the failure domain in which the process runs
 * @param role the function of the process in the cluster
 * @param address the address at which the process receives datagrams and push-pull syncs
 * @param deployment the name of the cluster to which the process belongs; messages of other deployments are dropped
 * @param oldestVersion the oldest protocol version that the process understands
 * @param newestVersion the newest protocol version that the process understands
 */
public record Identity(
        String name,
        long generation,
        long nonce,
        String zone,
        Role role,
        InetSocketAddress address,
        String deployment,
        int oldestVersion,
        int newestVersion) {

    /** Returns whether this identity has the later generation; if both are equal, whether it has the higher nonce. */
    boolean supersedes(Identity other) {
        return generation != other.generation
                ? generation > other.generation
                : Long.compareUnsigned(nonce, other.nonce) > 0;
    }

    /** Returns whether both identities belong to the same run of the same process. */
    boolean isSameProcess(Identity other) {
        return name.equals(other.name) && generation == other.generation && nonce == other.nonce;
    }

    /** Returns the identity of the same process with a later generation. */
    Identity withGeneration(long laterGeneration) {
        return new Identity(
                name, laterGeneration, nonce, zone, role, address, deployment, oldestVersion, newestVersion);
    }

    /** Returns whether there is a protocol version that both processes understand. */
    boolean isCompatibleWith(Identity other) {
        return oldestVersion <= other.newestVersion && other.oldestVersion <= newestVersion;
    }
}
