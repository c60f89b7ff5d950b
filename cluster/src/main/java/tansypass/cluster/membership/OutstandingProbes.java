package tansypass.cluster.membership;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** The pings that wait for an ack, by sequence number: pings of this process's own probes and of ping requests. */
final class OutstandingProbes {
    private final Map<Long, Probe> probes = new HashMap<>();

    /** A ping for which no ack has been received. */
    private static final class Probe {
        private final Runnable onAck;
        private final Set<String> awaitedNacks = new LinkedHashSet<>();

        Probe(Runnable onAck) {
            this.onAck = onAck;
        }
    }

    /** Adds a probe. If its ack arrives before the probe is ended, {@code onAck} runs once. */
    void begin(long sequenceNumber, Runnable onAck) {
        probes.put(sequenceNumber, new Probe(onAck));
    }

    /** Records that a ping request was sent to a helper, which has to send a nack if it receives no ack. */
    void awaitNack(long sequenceNumber, String helper) {
        probes.get(sequenceNumber).awaitedNacks.add(helper);
    }

    boolean isOutstanding(long sequenceNumber) {
        return probes.containsKey(sequenceNumber);
    }

    int size() {
        return probes.size();
    }

    /** Ends a probe without an ack, and returns whether the probe was still outstanding. */
    boolean end(long sequenceNumber) {
        return probes.remove(sequenceNumber) != null;
    }

    /** Returns the number of helpers of a probe that have sent no nack; 0 if the probe has ended. */
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
