package tansypass.balancer;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Checks a load balancer's actions against rules 1 to 3 of the protocol, and fails on the first violation.
 *
 * <ol>
 *   <li>Each request gets one final response in time, and no attempt is sent after it.
 *   <li>A request that was possibly executed is retried only as its class allows.
 *   <li>No attempt goes to a draining or removed server.
 * </ol>
 */
final class RequestRuleChecker {
    private final BalancerSettings settings;
    private final Map<Long, TrackedRequest> requestsById = new LinkedHashMap<>();
    private int endedCount;
    private int servedCount;

    RequestRuleChecker(BalancerSettings settings) {
        this.settings = settings;
    }

    /** Returns the request with this id, or null if there is none. */
    TrackedRequest request(long id) {
        return requestsById.get(id);
    }

    int requestCount() {
        return requestsById.size();
    }

    /** Returns how often a request has ended. A request that ends twice is counted twice. */
    int endedCount() {
        return endedCount;
    }

    int servedCount() {
        return servedCount;
    }

    boolean hasOpenRequests() {
        return requestsById.values().stream().anyMatch(r -> !r.ended);
    }

    void onRequest(long id, RequestClass requestClass, long deadlineAtUs) {
        requestsById.put(id, new TrackedRequest(requestClass, deadlineAtUs));
    }

    /** Records that the client of a request has disconnected. */
    void onClientDisconnect(long id) {
        TrackedRequest request = requestsById.get(id);
        if (!request.ended) {
            end(request);
        }
    }

    /** Records the end of an attempt. The first successful attempt of a request ends the request. */
    void onAttemptEnd(long id, int attempt, AttemptResult result) {
        TrackedRequest request = requestsById.get(id);
        request.attempts.get(attempt).result = result;
        if (result == AttemptResult.OK && !request.ended) {
            end(request);
            servedCount++;
        }
    }

    /**
     * Checks and records that an attempt is sent, which times out at {@code timeoutAtUs}. Returns the attempt's number.
     */
    int onSend(long nowUs, long id, ServerEntry server, long timeoutAtUs) {
        TrackedRequest request = requestsById.get(id);
        assertNotNull(request, "sent an attempt of an unknown request");
        assertFalse(request.ended, "rule 1: sent after the final response");
        assertTrue(timeoutAtUs <= request.deadlineAtUs, "rule 1: attempt deadline after the request deadline");
        assertTrue(nowUs < request.deadlineAtUs, "rule 1: sent after the request deadline");
        assertTrue(request.attempts.size() < settings.maxAttempts(), "more attempts than maxAttempts");
        request.earliestPossiblyExecuted().ifPresent(executed -> assertRetryAllowed(nowUs, request, executed, server));
        assertTrue(server.state() == ServerState.READY, "rule 3: sent to a draining or removed server");
        request.attempts.add(new TrackedRequest.Attempt(server, nowUs));
        return request.attempts.size() - 1;
    }

    private void assertRetryAllowed(
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
                    isInSameScope(requestClass.deduplicationScope(), executed.server, server),
                    "rule 2: outside the deduplication scope");
        }
        assertTrue(settings.hedging() || !request.hasAttemptInFlight(), "a hedged request although hedging is off");
    }

    private static boolean isInSameScope(DeduplicationScope scope, ServerEntry first, ServerEntry second) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> first.zone() == second.zone();
            case CELL -> first.cell() == second.cell();
        };
    }

    /** Checks and records a failure as the final response. */
    void onFail(long nowUs, long id) {
        assertFinalResponseInTime(nowUs, requestsById.get(id));
        end(requestsById.get(id));
    }

    /** Checks and records a rejection as the final response, which allows the client to retry. */
    void onReject(long nowUs, long id) {
        TrackedRequest request = requestsById.get(id);
        assertFinalResponseInTime(nowUs, request);
        assertTrue(
                request.earliestPossiblyExecuted().isEmpty() || isClientRetrySafe(request.requestClass),
                "rule 2: rejected although a client retry is not safe");
        end(request);
    }

    private void assertFinalResponseInTime(long nowUs, TrackedRequest request) {
        assertNotNull(request, "sent a final response to an unknown request");
        assertFalse(request.ended, "rule 1: a second final response");
        assertTrue(nowUs <= request.deadlineAtUs + settings.tickUs(), "rule 1: the final response is late");
    }

    /** Returns whether a client may retry a request that was possibly executed, at any server and at any time. */
    private static boolean isClientRetrySafe(RequestClass requestClass) {
        return switch (requestClass.idempotency()) {
            case IDEMPOTENT -> true;
            case KEYED -> requestClass.deduplicationScope() == DeduplicationScope.ALL;
            case NON_IDEMPOTENT -> false;
        };
    }

    private void end(TrackedRequest request) {
        request.ended = true;
        endedCount++;
    }
}
