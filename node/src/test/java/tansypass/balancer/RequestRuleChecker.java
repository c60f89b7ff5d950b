package tansypass.balancer;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Checks a balancer's actions on requests against rules 1 to 3 of the protocol and fails on the first violation.
 *
 * <ol>
 *   <li>Each request has one final outcome, in time, and no attempt after it.
 *   <li>A request that was possibly executed is retried only as its class permits.
 *   <li>No attempt goes to a draining or removed server.
 * </ol>
 */
final class RequestRuleChecker {
    private final BalancerSettings settings;
    private final Map<Long, TrackedRequest> requests = new LinkedHashMap<>();
    private int ended;
    private int served;

    RequestRuleChecker(BalancerSettings settings) {
        this.settings = settings;
    }

    /** Returns the request with this id, or null if there is none. */
    TrackedRequest request(long id) {
        return requests.get(id);
    }

    int requestCount() {
        return requests.size();
    }

    /** Returns the number of requests that have ended, each counted as often as it did. */
    int endedCount() {
        return ended;
    }

    int servedCount() {
        return served;
    }

    boolean hasOpenRequests() {
        return requests.values().stream().anyMatch(r -> !r.ended);
    }

    void onRequest(long id, RequestClass requestClass, long deadlineAtUs) {
        requests.put(id, new TrackedRequest(requestClass, deadlineAtUs));
    }

    /** Records that the client of a request has disconnected. */
    void onClientDisconnect(long id) {
        TrackedRequest request = requests.get(id);
        if (!request.ended) {
            end(request);
        }
    }

    /** Records the end of an attempt; a first successful one is the final outcome. */
    void onAttemptEnd(long id, int attempt, AttemptResult result) {
        TrackedRequest request = requests.get(id);
        request.attempts.get(attempt).result = result;
        if (result == AttemptResult.OK && !request.ended) {
            end(request);
            served++;
        }
    }

    /** Checks and records that an attempt is sent, to be given up at a time; returns the attempt's number. */
    int onSend(long nowUs, long id, ServerEntry server, long untilUs) {
        TrackedRequest request = requests.get(id);
        assertNotNull(request, "an unknown request");
        assertFalse(request.ended, "rule 1: sent after the final outcome");
        assertTrue(untilUs <= request.deadlineAtUs, "rule 1: attempt deadline after the request deadline");
        assertTrue(nowUs < request.deadlineAtUs, "rule 1: sent after the request deadline");
        assertTrue(request.attempts.size() < settings.maxAttempts(), "more attempts than the settings permit");
        request.earliestPossiblyExecuted()
                .ifPresent(executed -> assertRetryPermitted(nowUs, request, executed, server));
        assertTrue(server.state() == ServerState.READY, "rule 3: sent to a draining or removed server");
        request.attempts.add(new TrackedRequest.Attempt(server, nowUs));
        return request.attempts.size() - 1;
    }

    private void assertRetryPermitted(
            long nowUs, TrackedRequest request, TrackedRequest.Attempt executed, ServerEntry server) {
        RequestClass requestClass = request.requestClass;
        assertTrue(
                requestClass.idempotency() != Idempotency.NON_IDEMPOTENT,
                "rule 2: a non-idempotent request was possibly executed");
        if (requestClass.idempotency() == Idempotency.KEYED) {
            assertTrue(
                    nowUs <= executed.sentAtUs + requestClass.deduplicationWindowUs(),
                    "rule 2: after the deduplication window");
            assertTrue(
                    isSameScope(requestClass.deduplicationScope(), executed.server, server),
                    "rule 2: outside the deduplication scope");
        }
        assertTrue(settings.hedging() || !request.hasAttemptInFlight(), "a hedged request without permission");
    }

    private static boolean isSameScope(DeduplicationScope scope, ServerEntry a, ServerEntry b) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> a.zone() == b.zone();
            case CELL -> a.cell() == b.cell();
        };
    }

    /** Checks and records a failure as the final outcome. */
    void onFail(long nowUs, long id) {
        assertFinalOutcomeInTime(nowUs, requests.get(id));
        end(requests.get(id));
    }

    /** Checks and records a rejection as the final outcome; it permits the client to retry. */
    void onReject(long nowUs, long id) {
        TrackedRequest request = requests.get(id);
        assertFinalOutcomeInTime(nowUs, request);
        assertTrue(
                request.earliestPossiblyExecuted().isEmpty() || isClientRetrySafe(request.requestClass),
                "rule 2: rejected although a client retry is not safe");
        end(request);
    }

    private void assertFinalOutcomeInTime(long nowUs, TrackedRequest request) {
        assertNotNull(request, "an unknown request");
        assertFalse(request.ended, "rule 1: a second final outcome");
        assertTrue(nowUs <= request.deadlineAtUs + settings.tickUs(), "rule 1: the final outcome is late");
    }

    /** Whether a request that was possibly executed may be retried by its client, on any server and at any time. */
    private static boolean isClientRetrySafe(RequestClass requestClass) {
        return switch (requestClass.idempotency()) {
            case IDEMPOTENT -> true;
            case KEYED -> requestClass.deduplicationScope() == DeduplicationScope.ALL;
            case NON_IDEMPOTENT -> false;
        };
    }

    private void end(TrackedRequest request) {
        request.ended = true;
        ended++;
    }
}
