package tansypass.cluster.membership;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** Pings that wait for an ack, by sequence number: this process's own and those it sends for others. */
final class OutstandingProbes {
    private final Map<Long, Probe> probes = new HashMap<>();

    /** One ping that has no ack yet. */
    private static final class Probe {
        private final Runnable onAck;
        private final Set<String> awaitedNacks = new LinkedHashSet<>();

        Probe(Runnable onAck) {
            this.onAck = onAck;
        }
    }

    /** Adds a probe; {@code onAck} runs once if its ack comes before it is ended. */
    void begin(long sequenceNumber, Runnable onAck) {
        probes.put(sequenceNumber, new Probe(onAck));
    }

    /** Records that a helper was asked for an indirect probe, and has to send a nack if it receives no ack. */
    void awaitNack(long sequenceNumber, String helper) {
        probes.get(sequenceNumber).awaitedNacks.add(helper);
    }

    boolean isOutstanding(long sequenceNumber) {
        return probes.containsKey(sequenceNumber);
    }

    int size() {
        return probes.size();
    }

    /** Ends a probe without an ack; returns whether it was still outstanding. */
    boolean end(long sequenceNumber) {
        return probes.remove(sequenceNumber) != null;
    }

    /** Returns the number of helpers that have sent no nack; 0 for a probe that has ended. */
    int missingNacks(long sequenceNumber) {
        Probe probe = probes.get(sequenceNumber);
        return probe == null ? 0 : probe.awaitedNacks.size();
    }

    void onAck(long sequenceNumber) {
        Probe probe = probes.remove(sequenceNumber);
        if (probe != null) {
            probe.onAck.run();
        }
    }

    void onNack(long sequenceNumber, String helper) {
        Probe probe = probes.get(sequenceNumber);
        if (probe != null) {
            probe.awaitedNacks.remove(helper);
        }
    }
}
