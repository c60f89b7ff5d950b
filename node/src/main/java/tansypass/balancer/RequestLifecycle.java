package tansypass.balancer;

import java.util.HashMap;
import java.util.Map;

/** The requests in flight: their attempts are sent and their final answers given here. */
final class RequestLifecycle {
    private final BalancerContext context;
    final Map<Long, PendingRequest> byId = new HashMap<>();

    RequestLifecycle(BalancerContext context) {
        this.context = context;
    }

    void send(PendingRequest pending, Server server) {
        int attempt = pending.attempts++;
        context.limiter.recordSend();
        pending.servers[attempt] = server;
        pending.sentAt[attempt] = context.now;
        pending.attemptsInFlight++;
        server.idleConnections.remove();
        // A body that is still being received takes none of a server's work.
        context.servers.addInFlight(server, pending.receivingBody ? 0 : 1);
        // Gaps are counted from the first request on, not from the start of the clock.
        context.answers.lastAnswerAt = context.answers.lastAnswerAt == 0 ? context.now : context.answers.lastAnswerAt;
        context.slowStart.recordSend(server);
        context.actions.send(pending.request.id(), server.id, context.rules.attemptDeadline(pending));
    }

    /** Rule 1: the one final answer, a rejection wherever that is known to be harmless. */
    void reject(PendingRequest pending) {
        if (context.rules.canReject(pending)) {
            context.actions.reject(pending.request.id(), context.settings.maxRetryAfterUs());
        } else {
            context.actions.fail(pending.request.id());
        }
        complete(pending);
    }

    void complete(PendingRequest pending) {
        pending.completed = true;
        pending.queued = false;
        pending.awaitingProbes = false;
        for (int i = 0; i < pending.attempts && pending.attemptsInFlight > 0 && context.settings.cancel(); i++) {
            if (pending.results[i] == null) {
                context.actions.cancel(pending.request.id(), i);
            }
        }
        removeIfOver(pending);
    }

    void removeIfOver(PendingRequest pending) {
        if (pending.completed && pending.attemptsInFlight == 0) {
            byId.remove(pending.request.id());
        }
    }
}
