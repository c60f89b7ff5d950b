package tansypass.testbed.invariant;

import static tansypass.testbed.invariant.TimeTolerance.LATE_US;
import static tansypass.testbed.invariant.TimeTolerance.SLACK_US;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import tansypass.testbed.invariant.RequestRecord.AttemptRecord;
import tansypass.testbed.invariant.RunStatistics.End;
import tansypass.testbed.scenario.Scenario;
import tansypass.testbed.scenario.Scenario.RequestClass;

/**
 * Receives each event of a run once, checks the {@link Invariant}s on it and counts. It does not depend on
 * how nodes, servers and links are made. Times are microseconds since the load began. Not thread-safe: all
 * calls come from the run's one thread.
 */
public final class InvariantChecker {
    private static final int STATUS_OK = 200;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_SERVICE_UNAVAILABLE = 503;
    /** Beyond one in so many, requests whose new connection was closed unread are violations (STANDING). */
    private static final int CLOSED_UNREAD_RATIO = 200;

    private final RunStatistics statistics = new RunStatistics();
    private final ViolationRecorder recorder = new ViolationRecorder();
    private final Map<String, RequestRecord> requests = new LinkedHashMap<>();
    private final Set<String> endedIds = new HashSet<>();
    private final DrainNotifications drainNotifications;
    private final AttemptInvariants attemptInvariants;
    private final NodeExcuses excuses = new NodeExcuses();
    private final Optional<MembershipInvariantChecker> membershipChecker;
    private int closedUnread;

    /** Creates a checker for one run of the scenario. */
    public InvariantChecker(Scenario scenario) {
        drainNotifications = new DrainNotifications(scenario.nodes().count());
        attemptInvariants = new AttemptInvariants(scenario, recorder, drainNotifications);
        membershipChecker = Optional.ofNullable(scenario.cluster())
                .map(cluster -> new MembershipInvariantChecker(recorder, cluster.periodUs()));
    }

    /** A client sent a request to a node and waits until {@code deadlineUs}. */
    public void requestSent(
            long nowUs, String id, RequestClass requestClass, int node, long intendedUs, long deadlineUs) {
        recorder.trace(nowUs, "sent", id, node);
        statistics.recordSendLateness(nowUs - intendedUs);
        requests.put(id, new RequestRecord(requestClass, node, intendedUs, deadlineUs));
    }

    /** A request that was due could not be sent. */
    public void requestNotSent(long nowUs, long intendedUs) {
        recorder.trace(nowUs, "not sent", "", intendedUs);
        statistics.recordEnd(End.NOT_SENT, intendedUs, nowUs);
    }

    /**
     * A server received a complete request.
     *
     * @return the number of this attempt of the request, or -1 if the request is not in progress
     */
    public int attemptStarted(long nowUs, String id, int server) {
        recorder.trace(nowUs, "attempt", id, server);
        statistics.recordAttempt();
        RequestRecord request = requests.get(id);
        if (request == null) {
            // A retry may arrive after its client has its response; a request that nobody sent may not.
            if (!endedIds.contains(id)) {
                recorder.recordViolation(
                        Invariant.INVENTED_REQUEST,
                        nowUs,
                        "server-" + server + " got " + id + ", which no client sent");
            }
            return -1;
        }
        attemptInvariants.checkRepeated(nowUs, id, request, server);
        attemptInvariants.checkDraining(nowUs, id, request, server);
        request.attempts.add(new AttemptRecord(server, nowUs));
        return request.attempts.size() - 1;
    }

    /** A server produced a response for a request. */
    public void responseProduced(long nowUs, String id, int server, String body) {
        recorder.trace(nowUs, "made", id + body, server);
        RequestRecord request = requests.get(id);
        if (request != null) {
            request.producedBodies.add(body);
        }
    }

    /** An attempt is no longer in flight: its response is complete, or its connection has ended. */
    public void attemptEnded(long nowUs, String id, int attempt, boolean isKnownNotExecuted) {
        recorder.trace(nowUs, "attempt ended", id, attempt);
        RequestRecord request = requests.get(id);
        if (request != null && attempt >= 0) {
            AttemptRecord ended = request.attempts.get(attempt);
            ended.isInFlight = false;
            ended.isKnownNotExecuted = isKnownNotExecuted;
            attemptInvariants.checkOverlap(nowUs, id, ended);
            removeIfDone(id, request);
        }
    }

    /** The client received a complete response. */
    public void responseReceived(long nowUs, String id, int status, String body) {
        recorder.trace(nowUs, "answered", id, status);
        RequestRecord request = requests.get(id);
        if (request.isEnded()) {
            recorder.recordViolation(Invariant.ANSWERED, nowUs, id + " was answered twice");
            return;
        }
        if (status == STATUS_OK && !request.producedBodies.contains(body)) {
            recorder.recordViolation(
                    Invariant.INVENTED_ANSWER,
                    nowUs,
                    "node-" + request.node + " served " + id + " with what no server made for it");
        }
        if (nowUs > request.deadlineUs + SLACK_US + LATE_US && !excuses.isExcused(request)) {
            recorder.recordViolation(
                    Invariant.ANSWERED,
                    nowUs,
                    "node-" + request.node + " answered " + id + " " + (nowUs - request.deadlineUs) / 1_000
                            + " ms past its time");
        }
        end(nowUs, id, request, endOf(status, nowUs > request.deadlineUs + SLACK_US));
    }

    private static End endOf(int status, boolean isLate) {
        return switch (status) {
            case STATUS_OK -> isLate ? End.LATE : End.SERVED;
            case STATUS_TOO_MANY_REQUESTS, STATUS_SERVICE_UNAVAILABLE -> End.REFUSED;
            default -> End.FAILED;
        };
    }

    /**
     * The client's connection ended before the response was complete.
     *
     * @param isFirst whether it was the first request on its connection and no byte came back
     */
    public void connectionBroken(long nowUs, String id, boolean isFirst) {
        recorder.trace(nowUs, "broken", id, isFirst ? 1 : 0);
        RequestRecord request = requests.get(id);
        boolean excused = excuses.isExcused(request);
        if (!excused && isFirst) {
            closedUnread++;
        } else if (!excused) {
            recorder.recordViolation(
                    Invariant.ANSWERED,
                    nowUs,
                    "node-" + request.node + " ended the connection of " + id + " without a whole answer");
        }
        end(nowUs, id, request, End.UNREACHABLE);
    }

    /** The node's address refused the connection, so the request was never accepted. */
    public void connectionRefused(long nowUs, String id) {
        recorder.trace(nowUs, "refused connection", id, 0);
        end(nowUs, id, requests.get(id), End.UNREACHABLE);
    }

    /** The client stopped waiting, {@link #responseTimeoutAtUs long} after the deadline. */
    public void responseTimedOut(long nowUs, String id) {
        recorder.trace(nowUs, "gave up", id, 0);
        RequestRecord request = requests.get(id);
        if (!excuses.isExcused(request)) {
            recorder.recordViolation(Invariant.ANSWERED, nowUs, "node-" + request.node + " never answered " + id);
        }
        end(nowUs, id, request, End.TIMED_OUT);
    }

    /** Returns until when a client with this deadline waits for a late response. */
    public static long responseTimeoutAtUs(long deadlineUs) {
        return deadlineUs + SLACK_US + LATE_US + SLACK_US;
    }

    private void end(long nowUs, String id, RequestRecord request, End end) {
        statistics.recordEnd(end, request.intendedUs, nowUs);
        request.end(nowUs);
        removeIfDone(id, request);
    }

    private void removeIfDone(String id, RequestRecord request) {
        if (request.isEnded() && !request.hasAttemptInFlight()) {
            requests.remove(id);
            endedIds.add(id);
        }
    }

    /** Discovery notified a node that a server is draining or terminated, or that it is back. */
    public void endpointNotified(long nowUs, int node, int server, boolean isDraining) {
        recorder.trace(nowUs, "told", DrainNotifications.key(node, server), isDraining ? 1 : 0);
        drainNotifications.notified(nowUs, node, server, isDraining);
    }

    /** The endpoint list changed: whether or not a node is notified, it counts as notified some time later. */
    public void endpointListed(long nowUs, int server, boolean isDraining) {
        drainNotifications.listed(nowUs, server, isDraining);
    }

    /** A node's process started; what earlier processes were notified of does not count for it. */
    public void nodeStarted(long nowUs, int node) {
        recorder.trace(nowUs, "started", "node-" + node, 0);
        drainNotifications.nodeStarted(nowUs, node);
    }

    /** A node is killed or stopped, or its link to the clients has a fault, until the excuse is ended. */
    public Excuse excuseNode(long nowUs, int node) {
        recorder.trace(nowUs, "excused", "node-" + node, 0);
        return excuses.excuse(nowUs, node);
    }

    /** A process ended, or failed in a call, with no fault injected. */
    public void processDied(long nowUs, String process, String reason) {
        recorder.recordViolation(Invariant.DIED, nowUs, process + " " + reason);
    }

    /** A request, attempt or process is left at the end of the run. */
    public void resourceLeaked(long nowUs, String description) {
        recorder.recordViolation(Invariant.LEAKED, nowUs, description);
    }

    /** Ends the run: a request that is still open was never answered, and an attempt still in flight leaked. */
    public void finish(long nowUs) {
        for (Map.Entry<String, RequestRecord> open : new ArrayList<>(requests.entrySet())) {
            finishRequest(nowUs, open.getKey(), open.getValue());
        }
        if (closedUnread > 0 && (long) closedUnread * CLOSED_UNREAD_RATIO > statistics.offered()) {
            recorder.recordViolation(Invariant.ANSWERED, nowUs, closedUnread + " new connections were closed unread");
        }
    }

    private void finishRequest(long nowUs, String id, RequestRecord request) {
        if (!request.isEnded()) {
            responseTimedOut(nowUs, id);
        }
        request.attempts.stream().filter(attempt -> attempt.isInFlight).forEach(attempt -> {
            attemptInvariants.checkOverlap(nowUs, id, attempt);
            if (nowUs > request.endedUs() + SLACK_US + LATE_US) {
                resourceLeaked(nowUs, "an attempt of " + id + " is still out at server-" + attempt.server);
            }
        });
    }

    /** Returns the checker of the nodes' membership views; empty if the scenario has no cluster. */
    public Optional<MembershipInvariantChecker> membershipChecker() {
        return membershipChecker;
    }

    /** Returns the counts and times of all requests so far. */
    public RunStatistics statistics() {
        return statistics;
    }

    /** Returns the first violations in order, 100 at most. */
    public List<Violation> violations() {
        return recorder.violations();
    }

    /** Returns how many violations there were, including those not kept. */
    public int violationCount() {
        return recorder.violationCount();
    }

    /** Returns a hash that is equal for equal events in equal order. */
    public String traceHash() {
        return recorder.traceHash();
    }
}
