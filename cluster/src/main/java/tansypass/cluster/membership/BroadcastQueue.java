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
 * The updates that are still to be piggybacked on datagrams, ordered by the number of times that each was sent, lowest
 * first (SWIM, section 4.1). The queue has at most one update per member name, so the size of the member table limits
 * its size.
 */
final class BroadcastQueue {
    private final double retransmitMultiplier;
    private final ToIntFunction<Member> encodedSize;
    private final Map<String, Broadcast> byName = new HashMap<>();
    /** The broadcasts by transmit count, and for each count by name, in the order of insertion. */
    private final NavigableMap<Integer, Map<String, Broadcast>> byTransmitCount = new TreeMap<>();

    /** An update, and the number of times that it was sent. */
    private static final class Broadcast {
        private final Member update;
        private final int bytes;
        private int transmitCount;

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
     * @param retransmitMultiplier the number of times that each update is sent, in units of {@code log10(n + 1)}, where
     *     n is the number of known members
     * @param encodedSize returns the number of bytes that an update takes in a datagram
     */
    BroadcastQueue(double retransmitMultiplier, ToIntFunction<Member> encodedSize) {
        this.retransmitMultiplier = retransmitMultiplier;
        this.encodedSize = encodedSize;
    }

    /** Adds an update, which replaces an earlier update about the same name. */
    void add(Member update) {
        Broadcast broadcast = new Broadcast(update, encodedSize.applyAsInt(update));
        Broadcast replaced = byName.put(broadcast.name(), broadcast);
        if (replaced != null) {
            unlink(replaced);
        }
        link(broadcast);
    }

    private void link(Broadcast broadcast) {
        byTransmitCount
                .computeIfAbsent(broadcast.transmitCount, count -> new LinkedHashMap<>())
                .put(broadcast.name(), broadcast);
    }

    private void unlink(Broadcast broadcast) {
        Map<String, Broadcast> sameTransmitCount = byTransmitCount.get(broadcast.transmitCount);
        sameTransmitCount.remove(broadcast.name());
        if (sameTransmitCount.isEmpty()) {
            byTransmitCount.remove(broadcast.transmitCount);
        }
    }

    int size() {
        return byName.size();
    }

    /**
     * Selects the updates for one datagram and counts them as sent. Updates that were sent often enough are removed.
     *
     * @param maxBytes the maximum sum of the encoded sizes of the updates
     * @param first an update that precedes all others, whether it is queued or not; empty if there is none
     * @param clusterSize the number of known members
     */
    List<Member> takeForDatagram(int maxBytes, Optional<Member> first, int clusterSize) {
        List<Member> selected = new ArrayList<>();
        int bytesLeft = maxBytes;
        if (first.isPresent()) {
            selected.add(first.get());
            bytesLeft -= encodedSize.applyAsInt(first.get());
        }
        int maxTransmits = (int) Math.ceil(retransmitMultiplier * Math.log10(clusterSize + 1.0));
        for (Broadcast broadcast : selectFitting(bytesLeft, first)) {
            selected.add(broadcast.update);
            unlink(broadcast);
            if (++broadcast.transmitCount >= maxTransmits) {
                byName.remove(broadcast.name());
            } else {
                link(broadcast);
            }
        }
        return selected;
    }

    /** Returns the broadcasts sent least often, without the excluded update, until one does not fit. */
    @SuppressWarnings("ReferenceEquality") // Excludes only the identical object, not an equal update.
    private List<Broadcast> selectFitting(int maxBytes, Optional<Member> excluded) {
        List<Broadcast> fitting = new ArrayList<>();
        int bytesLeft = maxBytes;
        for (Map<String, Broadcast> sameTransmitCount : byTransmitCount.values()) {
            for (Broadcast broadcast : sameTransmitCount.values()) {
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
