package tansypass.testbed.invariant;

import static tansypass.testbed.invariant.TimeTolerance.LATE_RESPONSE_TOLERANCE_US;
import static tansypass.testbed.invariant.TimeTolerance.TIMING_SLACK_US;

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
 * Receives each event of a run once, checks the {@link Invariant}s and collects statistics. Runs in virtual time and
 * runs on real processes use the same class. Times are microseconds since the load began. Not thread-safe: all calls
 * must come from the run's single thread.
 */
public final class InvariantChecker {
    private static final int STATUS_OK = 200;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_SERVICE_UNAVAILABLE = 503;
    /**
     * The platform's rules allow a node to close a new connection without reading it for one in this many requests.
     * More are a violation.
     */
    private static final int REQUESTS_PER_CLOSED_UNREAD = 200;

    private final RunStatistics statistics = new RunStatistics();
    private final ViolationRecorder recorder = new ViolationRecorder();
    private final Map<String, RequestRecord> requests = new LinkedHashMap<>();
    private final Set<String> endedIds = new HashSet<>();
    private final DrainNotifications drainNotifications;
    private final AttemptInvariants attemptInvariants;
    private final NodeExemptions exemptions = new NodeExemptions();
    private final Optional<MembershipInvariantChecker> membershipChecker;
    private int closedUnreadCount;

    /** Creates a checker for one run of the scenario. */
    public InvariantChecker(Scenario scenario) {
        drainNotifications = new DrainNotifications(scenario.nodes().count());
        attemptInvariants = new AttemptInvariants(scenario, recorder, drainNotifications);
        membershipChecker = Optional.ofNullable(scenario.cluster())
                .map(cluster -> new MembershipInvariantChecker(recorder, cluster.periodUs()));
    }

    /** Records that a client sent a request to a node and needs the response by {@code deadlineUs}. */
    public void requestSent(
            long nowUs, String id, RequestClass requestClass, int node, long intendedUs, long deadlineUs) {
        recorder.trace(nowUs, "sent", id, node);
        statistics.recordSendLateness(nowUs - intendedUs);
        requests.put(id, new RequestRecord(requestClass, node, intendedUs, deadlineUs));
    }

    /** Records that a request that was due could not be sent. */
    public void requestNotSent(long nowUs, long intendedUs) {
        recorder.trace(nowUs, "not sent", "", intendedUs);
        statistics.recordEnd(End.NOT_SENT, intendedUs, nowUs);
    }

    /**
     * Records that a server received a complete request.
     *
     * @return the number of this attempt of the request, or -1 if the request is not in progress
     */
    public int attemptStarted(long nowUs, String id, int server) {
        recorder.trace(nowUs, "attempt", id, server);
        statistics.recordAttempt();
        RequestRecord request = requests.get(id);
        if (request == null) {
            // A retry may arrive after the client has received its response; a request that no client sent may not.
            if (!endedIds.contains(id)) {
                recorder.recordViolation(
                        Invariant.INVENTED_REQUEST,
                        nowUs,
                        "server-" + server + " got " + id + ", which no client sent");
            }
            return -1;
        }
        attemptInvariants.checkRepeat(nowUs, id, request, server);
        attemptInvariants.checkDraining(nowUs, id, request, server);
        request.attempts.add(new AttemptRecord(server, nowUs));
        return request.attempts.size() - 1;
    }

    /** Records that a server produced a response for a request. */
    public void responseProduced(long nowUs, String id, int server, String body) {
        recorder.trace(nowUs, "made", id + body, server);
        RequestRecord request = requests.get(id);
        if (request != null) {
            request.producedBodies.add(body);
        }
    }

    /** Records that an attempt is no longer in flight: its response is complete, or its connection was closed. */
    public void attemptEnded(long nowUs, String id, int attempt, boolean isKnownNotExecuted) {
        recorder.trace(nowUs, "attempt ended", id, attempt);
        RequestRecord request = requests.get(id);
        if (request != null && attempt >= 0) {
            AttemptRecord endedAttempt = request.attempts.get(attempt);
            endedAttempt.isInFlight = false;
            endedAttempt.isKnownNotExecuted = isKnownNotExecuted;
            attemptInvariants.checkOverlap(nowUs, id, endedAttempt);
            removeIfDone(id, request);
        }
    }

    /** Records that the client received a complete response. */
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
        if (nowUs > request.deadlineUs + TIMING_SLACK_US + LATE_RESPONSE_TOLERANCE_US
                && !exemptions.isExempt(request)) {
            recorder.recordViolation(
                    Invariant.ANSWERED,
                    nowUs,
                    "node-" + request.node + " answered " + id + " " + (nowUs - request.deadlineUs) / 1_000
                            + " ms past its time");
        }
        endRequest(nowUs, id, request, endOf(status, nowUs > request.deadlineUs + TIMING_SLACK_US));
    }

    private static End endOf(int status, boolean isLate) {
        return switch (status) {
            case STATUS_OK -> isLate ? End.LATE : End.SERVED;
            case STATUS_TOO_MANY_REQUESTS, STATUS_SERVICE_UNAVAILABLE -> End.REFUSED;
            default -> End.FAILED;
        };
    }

    /**
     * Records that the client's connection was closed before the response was complete.
     *
     * @param isFirst whether the request was the first on its connection and no byte of a response arrived
     */
    public void connectionBroken(long nowUs, String id, boolean isFirst) {
        recorder.trace(nowUs, "broken", id, isFirst ? 1 : 0);
        RequestRecord request = requests.get(id);
        boolean isExempt = exemptions.isExempt(request);
        if (!isExempt && isFirst) {
            closedUnreadCount++;
        } else if (!isExempt) {
            recorder.recordViolation(
                    Invariant.ANSWERED,
                    nowUs,
                    "node-" + request.node + " ended the connection of " + id + " without a whole answer");
        }
        endRequest(nowUs, id, request, End.UNREACHABLE);
    }

    /** Records that the node's address refused the connection, so the request was never accepted. */
    public void connectionRefused(long nowUs, String id) {
        recorder.trace(nowUs, "refused connection", id, 0);
        endRequest(nowUs, id, requests.get(id), End.UNREACHABLE);
    }

    /** Records that the client stopped waiting, at the time that {@link #responseTimeoutAtUs} returns. */
    public void responseTimedOut(long nowUs, String id) {
        recorder.trace(nowUs, "gave up", id, 0);
        RequestRecord request = requests.get(id);
        if (!exemptions.isExempt(request)) {
            recorder.recordViolation(Invariant.ANSWERED, nowUs, "node-" + request.node + " never answered " + id);
        }
        endRequest(nowUs, id, request, End.TIMED_OUT);
    }

    /** Returns the time at which a client with this deadline stops waiting for a late response. */
    public static long responseTimeoutAtUs(long deadlineUs) {
        return deadlineUs + TIMING_SLACK_US + LATE_RESPONSE_TOLERANCE_US + TIMING_SLACK_US;
    }

    private void endRequest(long nowUs, String id, RequestRecord request, End end) {
        statistics.recordEnd(end, request.intendedUs, nowUs);
        request.recordEnd(nowUs);
        removeIfDone(id, request);
    }

    private void removeIfDone(String id, RequestRecord request) {
        if (request.isEnded() && !request.hasAttemptInFlight()) {
            requests.remove(id);
            endedIds.add(id);
        }
    }

    /** Records that discovery notified a node that a server is draining or terminated, or that it is ready again. */
    public void endpointNotified(long nowUs, int node, int server, boolean isDraining) {
        recorder.trace(nowUs, "told", DrainNotifications.linkKey(node, server), isDraining ? 1 : 0);
        drainNotifications.recordNotified(nowUs, node, server, isDraining);
    }

    /** Records a change of the endpoint list; some time later all nodes count as notified, even if they were not. */
    public void endpointListed(long nowUs, int server, boolean isDraining) {
        drainNotifications.recordListed(nowUs, server, isDraining);
    }

    /** Records the start of a node's process; notifications to the node's earlier processes no longer count. */
    public void nodeStarted(long nowUs, int node) {
        recorder.trace(nowUs, "started", "node-" + node, 0);
        drainNotifications.recordNodeStarted(nowUs, node);
    }

    /**
     * Exempts a node from {@link Invariant#ANSWERED} until the returned exemption is ended, because the node is killed
     * or stopped, or because its link to the clients has a fault.
     */
    public Exemption exemptNode(long nowUs, int node) {
        recorder.trace(nowUs, "excused", "node-" + node, 0);
        return exemptions.begin(nowUs, node);
    }

    /** Records that a process exited, or that a call to it failed, although no fault was injected. */
    public void processDied(long nowUs, String process, String reason) {
        recorder.recordViolation(Invariant.DIED, nowUs, process + " " + reason);
    }

    /** Records that a request, attempt or process is left at the end of the run. */
    public void resourceLeaked(long nowUs, String description) {
        recorder.recordViolation(Invariant.LEAKED, nowUs, description);
    }

    /** Ends the run: a request that is still open has timed out, and an attempt that is still in flight has leaked. */
    public void finish(long nowUs) {
        for (Map.Entry<String, RequestRecord> openRequest : new ArrayList<>(requests.entrySet())) {
            finishRequest(nowUs, openRequest.getKey(), openRequest.getValue());
        }
        if (closedUnreadCount > 0 && (long) closedUnreadCount * REQUESTS_PER_CLOSED_UNREAD > statistics.offered()) {
            recorder.recordViolation(
                    Invariant.ANSWERED, nowUs, closedUnreadCount + " new connections were closed unread");
        }
    }

    private void finishRequest(long nowUs, String id, RequestRecord request) {
        if (!request.isEnded()) {
            responseTimedOut(nowUs, id);
        }
        request.attempts.stream().filter(attempt -> attempt.isInFlight).forEach(attempt -> {
            attemptInvariants.checkOverlap(nowUs, id, attempt);
            if (nowUs > request.endedUs() + TIMING_SLACK_US + LATE_RESPONSE_TOLERANCE_US) {
                resourceLeaked(nowUs, "an attempt of " + id + " is still out at server-" + attempt.server);
            }
        });
    }

    /** Returns the checker of the nodes' membership views; empty if the scenario has no cluster. */
    public Optional<MembershipInvariantChecker> membershipChecker() {
        return membershipChecker;
    }

    /** Returns the statistics of all requests so far. */
    public RunStatistics statistics() {
        return statistics;
    }

    /** Returns the violations in order; only the first 100 are kept. */
    public List<Violation> violations() {
        return recorder.violations();
    }

    /** Returns the number of violations, including those that were not kept. */
    public int violationCount() {
        return recorder.violationCount();
    }

    /** Returns a hash of the trace: two runs with the same events in the same order have the same hash. */
    public String traceHash() {
        return recorder.traceHash();
    }
}
