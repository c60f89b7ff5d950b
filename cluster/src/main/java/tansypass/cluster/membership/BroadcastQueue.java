package tansypass.cluster.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToIntFunction;

/**
 * The updates that are still to be piggybacked on datagrams, those sent least often first (SWIM, section 4.1). It has
 * at most one update per name, so its size is bounded by that of the member table.
 */
final class BroadcastQueue {
    private final double retransmitMultiplier;
    private final ToIntFunction<Member> encodedSize;
    private final Map<String, Broadcast> byName = new HashMap<>();
    /** By the number of transmits, and then by name in the order of insertion. */
    private final NavigableMap<Integer, Map<String, Broadcast>> byTransmits = new TreeMap<>();

    /** One update, and how often it has been sent. */
    private static final class Broadcast {
        private final Member update;
        private final int bytes;
        private int transmits;

        Broadcast(Member update, int bytes) {
            this.update = update;
            this.bytes = bytes;
        }

        private String name() {
            return update.identity().name();
        }
    }

    /**
     * Creates an empty queue.
     *
     * @param retransmitMultiplier an update is sent this many times log10(n + 1) times, n members being known
     * @param encodedSize how many bytes an update takes in a datagram
     */
    BroadcastQueue(double retransmitMultiplier, ToIntFunction<Member> encodedSize) {
        this.retransmitMultiplier = retransmitMultiplier;
        this.encodedSize = encodedSize;
    }

    /** Adds an update in place of an earlier one of the same name. */
    void add(Member update) {
        Broadcast broadcast = new Broadcast(update, encodedSize.applyAsInt(update));
        Broadcast before = byName.put(broadcast.name(), broadcast);
        if (before != null) {
            unlink(before);
        }
        link(broadcast);
    }

    private void link(Broadcast broadcast) {
        byTransmits
                .computeIfAbsent(broadcast.transmits, transmits -> new LinkedHashMap<>())
                .put(broadcast.name(), broadcast);
    }

    private void unlink(Broadcast broadcast) {
        Map<String, Broadcast> sentAsOften = byTransmits.get(broadcast.transmits);
        sentAsOften.remove(broadcast.name());
        if (sentAsOften.isEmpty()) {
            byTransmits.remove(broadcast.transmits);
        }
    }

    int size() {
        return byName.size();
    }

    /**
     * Selects the updates for one datagram, and counts them as sent; removes those that have been sent often enough.
     *
     * @param maxBytes the limit on the sum of their encoded sizes
     * @param first precedes all others, whether it is queued or not
     * @param clusterSize the number of known members
     */
    List<Member> take(int maxBytes, Optional<Member> first, int clusterSize) {
        List<Member> taken = new ArrayList<>();
        int bytesLeft = maxBytes;
        if (first.isPresent()) {
            taken.add(first.get());
            bytesLeft -= encodedSize.applyAsInt(first.get());
        }
        int maxTransmits = (int) Math.ceil(retransmitMultiplier * Math.log10(clusterSize + 1.0));
        for (Broadcast broadcast : selectFitting(bytesLeft, first)) {
            taken.add(broadcast.update);
            unlink(broadcast);
            if (++broadcast.transmits >= maxTransmits) {
                byName.remove(broadcast.name());
            } else {
                link(broadcast);
            }
        }
        return taken;
    }

    /** Returns the updates sent least often, up to the first that does not fit, without the excluded one. */
    @SuppressWarnings("ReferenceEquality") // The very update, not one that equals it.
    private List<Broadcast> selectFitting(int maxBytes, Optional<Member> excluded) {
        List<Broadcast> fitting = new ArrayList<>();
        int bytesLeft = maxBytes;
        for (Map<String, Broadcast> sentAsOften : byTransmits.values()) {
            for (Broadcast broadcast : sentAsOften.values()) {
                if (broadcast.bytes > bytesLeft) {
                    return fitting;
                }
                if (excluded.isEmpty() || broadcast.update != excluded.get()) {
                    bytesLeft -= broadcast.bytes;
                    fitting.add(broadcast);
                }
            }
        }
        return fitting;
    }
}
