package tansypass.cluster.membership;

import tansypass.cluster.membership.MembershipCounters.Name;
import tansypass.cluster.membership.Message.Envelope;

/** Rejects and counts messages of other deployments, and of protocol versions that this process does not understand. */
final class PeerFilter {
    private final ProtocolState state;

    PeerFilter(ProtocolState state) {
        this.state = state;
    }

    /** Returns whether a message with this envelope may be handled. */
    boolean accepts(Envelope envelope) {
        Identity self = state.self();
        if (!envelope.deployment().equals(self.deployment())) {
            state.counters().increment(Name.DROPPED_DEPLOYMENT);
            return false;
        }
        if (envelope.protocolVersion() < self.oldestVersion() || envelope.protocolVersion() > self.newestVersion()) {
            state.counters().increment(Name.DROPPED_VERSION);
            return false;
        }
        return true;
    }
}
