package tansypass.cli;

import java.security.SecureRandom;
import java.time.Clock;
import java.util.Locale;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;
import tansypass.cluster.membership.Identity;
import tansypass.cluster.membership.Member;
import tansypass.cluster.membership.MemberListener;
import tansypass.cluster.membership.MembershipSettings;
import tansypass.cluster.membership.MessageCodec;
import tansypass.cluster.membership.Role;
import tansypass.cluster.transport.ClusterBindException;
import tansypass.cluster.transport.ClusterMember;
import tansypass.config.NodeFile;

/** Starts this node's membership in a cluster. If the start fails, the node serves clients without membership. */
final class Membership {
    private static final Logger LOG = LoggerFactory.getLogger(Membership.class);

    private Membership() {}

    /** Starts to join the cluster. Returns null if no cluster is configured or the listen address can't be bound. */
    static ClusterMember join(NodeFile file, Clock wallClock) {
        if (file.cluster() == null) {
            return null;
        }
        SecureRandom random = new SecureRandom();
        Identity self = new Identity(
                file.name(),
                wallClock.millis(),
                random.nextLong(),
                file.zone(),
                Role.NODE,
                file.cluster().advertise(),
                file.cluster().deployment(),
                MessageCodec.VERSION,
                MessageCodec.VERSION);
        ClusterMember member = new ClusterMember(
                MembershipSettings.DEFAULT.withPeriod(
                        file.cluster().probeIntervalUs(), file.cluster().probeTimeoutUs()),
                self,
                file.cluster().listen(),
                file.cluster().seeds(),
                random.nextLong(),
                new LoggingListener());
        try {
            member.start();
        } catch (ClusterBindException e) {
            LOG.atError()
                    .addKeyValue("event", "fleet.closed")
                    .addKeyValue("reason", e.getMessage())
                    .log("cluster membership not started");
            member.close();
            return null;
        }
        // Shutdown hooks run concurrently: this one notifies other members as soon as the node starts to drain. The
        // node's last responses take longer than the notification.
        Runtime.getRuntime().addShutdownHook(new Thread(member::leave, "leave"));
        return member;
    }

    /** Logs changes of the view. Changes that keep a member's state are logged at debug level. */
    private static final class LoggingListener implements MemberListener {
        @Override
        public void onUpdate(Optional<Member> before, Member after) {
            boolean isStateUnchanged =
                    before.isPresent() && after.state() == before.get().state();
            withEvent(
                            isStateUnchanged ? LOG.atDebug() : LOG.atInfo(),
                            after.state().name().toLowerCase(Locale.ROOT),
                            after)
                    .log("member state changed");
        }

        @Override
        public void onReap(Member reaped) {
            withEvent(LOG.atInfo(), "forgotten", reaped).log("member removed from view");
        }

        /** Adds the name of the event, which scripts match, and the fields of the member. */
        private static LoggingEventBuilder withEvent(LoggingEventBuilder builder, String event, Member member) {
            return builder.addKeyValue("event", "member." + event)
                    .addKeyValue("member", member.identity().name())
                    .addKeyValue("generation", member.identity().generation())
                    .addKeyValue("incarnation", member.incarnation())
                    .addKeyValue("zone", member.identity().zone())
                    .addKeyValue("by", member.suspectedBy());
        }
    }
}
