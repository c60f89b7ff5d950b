package tansypass.cluster.membership;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the membership events of one process. The set of counters is fixed, so peers cannot add any. Not thread-safe;
 * confined to the thread of the protocol.
 */
public final class MembershipCounters {

    /** The counted events. The names, in lower case, are label values of a metric, so they must not change. */
    public enum Name {
        /** Probes that this process started. */
        PROBES,
        /** Probes for which no ack arrived in time. */
        PROBES_FAILED,
        /** Indirect probes that this process requested from helpers. */
        HELP_ASKED,
        /** Suspicions of this process that this process refuted. */
        REFUTED,
        /** Suspicions of other members that this process raised itself or adopted from a peer. */
        SUSPECTED,
        /** Suspects that this process declared failed. */
        FAILED,
        /** Push-pull syncs that this process started. */
        EXCHANGES,
        /** Push-pull syncs that got no response, or one that was rejected. */
        EXCHANGES_FAILED,
        /** Messages dropped because they could not be decoded. */
        DROPPED_MALFORMED,
        /** Messages dropped because they are of another deployment. */
        DROPPED_DEPLOYMENT,
        /** Messages, and updates about members, dropped because this process does not understand their version. */
        DROPPED_VERSION,
        /** Updates about new members, dropped because the member table was full. */
        DROPPED_FULL,
        /** Ping requests dropped because their target is unknown or too many probes are outstanding. */
        DROPPED_BUSY,
        /** Updates about another process, or an earlier run, that has this process's name and supersedes it. */
        NAME_CONFLICTS,
        /** Push-pull syncs that this process started because the digest of a peer differed. */
        VIEWS_COMPARED
    }

    private final long[] counts = new long[Name.values().length];

    /** Increments a counter by one. */
    public void increment(Name name) {
        counts[name.ordinal()]++;
    }

    /** Returns the current value of a counter. */
    public long get(Name name) {
        return counts[name.ordinal()];
    }

    /** Returns a copy of the values of all counters, by name in lower case. */
    public Map<String, Long> all() {
        Map<String, Long> valuesByName = new TreeMap<>();
        for (Name name : Name.values()) {
            valuesByName.put(name.name().toLowerCase(Locale.ROOT), get(name));
        }
        return valuesByName;
    }
}
