package tansypass.testbed.invariant;

import static tansypass.testbed.invariant.TimeTolerance.SLACK_US;

import java.util.OptionalLong;
import tansypass.config.NodeFile.DeduplicationScope;
import tansypass.config.NodeFile.Idempotency;
import tansypass.testbed.invariant.RequestRecord.AttemptRecord;
import tansypass.testbed.scenario.Scenario;
import tansypass.testbed.scenario.Scenario.RequestClass;

/**
 * Checks the attempts of requests: retries and hedged requests are only those that the class allows, and none
 * is sent to a draining server. Times are microseconds since the load began. Not thread-safe.
 */
final class AttemptInvariants {
    private final Scenario scenario;
    private final ViolationRecorder recorder;
    private final DrainNotifications drainNotifications;

    AttemptInvariants(Scenario scenario, ViolationRecorder recorder, DrainNotifications drainNotifications) {
        this.scenario = scenario;
        this.recorder = recorder;
        this.drainNotifications = drainNotifications;
    }

    /** Checks a new attempt at a server against the earlier ones of the request. */
    void checkRepeated(long nowUs, String id, RequestRecord request, int server) {
        for (AttemptRecord earlier : request.attempts) {
            if (earlier.isKnownNotExecuted) {
                continue;
            }
            if (earlier.isInFlight && !scenario.nodes().hedging()) {
                earlier.overlap(nowUs);
            }
            if (!canRepeat(nowUs, request.requestClass, earlier, server)) {
                recorder.recordViolation(
                        Invariant.REPEATED,
                        nowUs,
                        request.requestClass.idempotency() + " " + id + " came to server-" + server
                                + " and may have run at server-" + earlier.server);
            }
        }
    }

    private boolean canRepeat(long nowUs, RequestClass requestClass, AttemptRecord earlier, int server) {
        if (requestClass.idempotency() == Idempotency.KEYED) {
            return isInScope(requestClass.deduplicationScope(), earlier.server, server)
                    && nowUs <= earlier.startedUs + requestClass.deduplicationWindowUs() + SLACK_US;
        }
        return requestClass.idempotency() != Idempotency.UNSAFE;
    }

    private boolean isInScope(DeduplicationScope scope, int server, int other) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> scenario.zone(server).equals(scenario.zone(other));
            case CELL ->
                server / scenario.servers().serversPerCell()
                        == other / scenario.servers().serversPerCell();
        };
    }

    /** Checks that the server of a new attempt is not draining for longer than the node's grace. */
    void checkDraining(long nowUs, String id, RequestRecord request, int server) {
        OptionalLong notifiedUs = drainNotifications.notifiedUs(request.node, server);
        long graceUs = scenario.nodes().drainGraceUs() + SLACK_US;
        if (notifiedUs.isPresent() && nowUs > notifiedUs.getAsLong() + graceUs) {
            recorder.recordViolation(
                    Invariant.DRAINING,
                    nowUs,
                    "node-" + request.node + " sent " + id + " to server-" + server + " "
                            + (nowUs - notifiedUs.getAsLong()) / 1_000 + " ms after it was told that it leaves");
        }
    }

    /**
     * Checks an attempt that has ended, or that is still in flight at the end of the run, for a second one
     * beside it. The end of one attempt and the start of the next cross on two connections, so a short overlap
     * is allowed.
     */
    void checkOverlap(long nowUs, String id, AttemptRecord earlier) {
        if (earlier.isOverlapped() && nowUs > earlier.overlappedUs() + SLACK_US) {
            recorder.recordViolation(
                    Invariant.REPEATED,
                    earlier.overlappedUs(),
                    "a second copy of " + id + " beside the one at server-" + earlier.server);
        }
    }
}
