package tansypass.testbed.invariant;

import static tansypass.testbed.invariant.TimeTolerance.TIMING_SLACK_US;

import java.util.OptionalLong;
import tansypass.config.NodeFile.DeduplicationScope;
import tansypass.config.NodeFile.Idempotency;
import tansypass.testbed.invariant.RequestRecord.AttemptRecord;
import tansypass.testbed.scenario.Scenario;
import tansypass.testbed.scenario.Scenario.RequestClass;

/**
 * Checks the attempts of requests: a request is retried or hedged only as its class allows, and no attempt is sent to
 * a draining server. Times are microseconds since the load began. Not thread-safe.
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

    /** Checks whether a new attempt at a server is allowed after the earlier attempts of the request. */
    void checkRepeat(long nowUs, String id, RequestRecord request, int server) {
        for (AttemptRecord earlier : request.attempts) {
            if (earlier.isKnownNotExecuted) {
                continue;
            }
            if (earlier.isInFlight && !scenario.nodes().hedging()) {
                earlier.recordOverlap(nowUs);
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
                    && nowUs <= earlier.startedUs + requestClass.deduplicationWindowUs() + TIMING_SLACK_US;
        }
        return requestClass.idempotency() != Idempotency.UNSAFE;
    }

    private boolean isInScope(DeduplicationScope scope, int server, int otherServer) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> scenario.zone(server).equals(scenario.zone(otherServer));
            case CELL ->
                server / scenario.servers().serversPerCell()
                        == otherServer / scenario.servers().serversPerCell();
        };
    }

    /** Checks that the server of a new attempt was not already draining when the node's grace period ended. */
    void checkDraining(long nowUs, String id, RequestRecord request, int server) {
        OptionalLong notifiedUs = drainNotifications.notifiedUs(request.node, server);
        long graceUs = scenario.nodes().drainGraceUs() + TIMING_SLACK_US;
        if (notifiedUs.isPresent() && nowUs > notifiedUs.getAsLong() + graceUs) {
            recorder.recordViolation(
                    Invariant.DRAINING,
                    nowUs,
                    "node-" + request.node + " sent " + id + " to server-" + server + " "
                            + (nowUs - notifiedUs.getAsLong()) / 1_000 + " ms after it was told that it leaves");
        }
    }

    /**
     * Checks that no later attempt overlapped with an attempt that has ended, or that is still in flight at the end of
     * the run. A short overlap is allowed: the end of one attempt and the start of the next travel on two connections
     * and may be observed in either order.
     */
    void checkOverlap(long nowUs, String id, AttemptRecord earlier) {
        if (earlier.isOverlapped() && nowUs > earlier.overlappedUs() + TIMING_SLACK_US) {
            recorder.recordViolation(
                    Invariant.REPEATED,
                    earlier.overlappedUs(),
                    "a second copy of " + id + " beside the one at server-" + earlier.server);
        }
    }
}
