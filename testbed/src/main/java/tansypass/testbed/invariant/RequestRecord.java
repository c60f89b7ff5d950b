package tansypass.testbed.invariant;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import tansypass.testbed.scenario.Scenario.RequestClass;

/** A client's request; it is kept until it has ended and none of its attempts is in flight. */
final class RequestRecord {
    private static final long NOT_ENDED = -1;

    final RequestClass requestClass;
    final int node;
    /** The time at which the request was due, in microseconds since the load began. */
    final long intendedUs;

    final long deadlineUs;
    final List<AttemptRecord> attempts = new ArrayList<>(2);
    /** The bodies of the responses that servers produced for the request. */
    final Set<String> producedBodies = new HashSet<>();

    private long endedUs = NOT_ENDED;

    RequestRecord(RequestClass requestClass, int node, long intendedUs, long deadlineUs) {
        this.requestClass = requestClass;
        this.node = node;
        this.intendedUs = intendedUs;
        this.deadlineUs = deadlineUs;
    }

    void recordEnd(long nowUs) {
        endedUs = nowUs;
    }

    boolean isEnded() {
        return endedUs != NOT_ENDED;
    }

    long endedUs() {
        return endedUs;
    }

    boolean hasAttemptInFlight() {
        return attempts.stream().anyMatch(attempt -> attempt.isInFlight);
    }

    /** One attempt of a request, from the time at which a server received it completely. */
    static final class AttemptRecord {
        private static final long NEVER = -1;

        final int server;
        final long startedUs;
        boolean isInFlight = true;
        boolean isKnownNotExecuted;

        private long overlappedUs = NEVER;

        AttemptRecord(int server, long startedUs) {
            this.server = server;
            this.startedUs = startedUs;
        }

        /** Records that another attempt began while this one was in flight; only the first time is kept. */
        void recordOverlap(long nowUs) {
            if (overlappedUs == NEVER) {
                overlappedUs = nowUs;
            }
        }

        boolean isOverlapped() {
            return overlappedUs != NEVER;
        }

        long overlappedUs() {
            return overlappedUs;
        }
    }
}
