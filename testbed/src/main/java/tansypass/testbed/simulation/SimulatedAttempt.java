package tansypass.testbed.simulation;

import java.util.Optional;
import tansypass.balancer.AttemptOutcome;
import tansypass.balancer.AttemptResult;
import tansypass.cluster.runtime.Scheduler;

/** An attempt of a {@link SimulatedRequest} at one server, with its connection, timers and result. */
final class SimulatedAttempt {
    private static final int STATUS_OK = 200;
    private static final int STATUS_SERVER_ERROR = 500;

    private final SimulatedNode node;
    private final Scheduler scheduler;
    private final SimulatedRequest request;
    private final int number;
    private final String server;
    private final long startedUs;
    /** Empty until the attempt starts. */
    private Optional<Scheduler.Timer> deadlineTimer = Optional.empty();
    /** Empty until the request is written. */
    private Optional<SimulatedNetwork.OutboundRequest> outbound = Optional.empty();

    private boolean isWritten;
    private boolean isOver;

    /** Creates an attempt that has not started. */
    SimulatedAttempt(SimulatedNode node, SimulatedRequest request, int number, String server) {
        this.node = node;
        scheduler = node.scheduler();
        this.request = request;
        this.number = number;
        this.server = server;
        startedUs = scheduler.nowUs();
    }

    /** Returns whether the request was written on a connection, so that the server may have received it. */
    boolean isWritten() {
        return isWritten;
    }

    /** Sends the request on an idle connection or a new one; {@code attemptDeadlineUs} of 0 or less means none. */
    void start(long attemptDeadlineUs) {
        long endUs = Math.min(attemptDeadlineUs <= 0 ? Long.MAX_VALUE : attemptDeadlineUs, request.deadlineUs());
        if (request.isOver() || scheduler.nowUs() >= endUs) {
            endWithoutResponse(AttemptResult.NOT_SENT);
            return;
        }
        deadlineTimer = Optional.of(scheduler.after(endUs - scheduler.nowUs(), this::onTimeout));
        if (node.connections().acquire(server)) {
            write(false);
        } else {
            connect();
        }
    }

    private void onTimeout() {
        endWithoutResponse(isWritten ? AttemptResult.TIMEOUT : AttemptResult.CONNECT_FAILED);
    }

    private void connect() {
        Scheduler.Timer connectTimer =
                scheduler.after(node.connectTimeoutUs(), () -> endWithoutResponse(AttemptResult.CONNECT_FAILED));
        node.network().connect(server, (result, status, body) -> {
            connectTimer.cancel();
            onConnected(result);
        });
    }

    private void onConnected(AttemptResult result) {
        if (isOver) {
            if (result == AttemptResult.OK) {
                node.connections().release(server);
            }
        } else if (result == AttemptResult.OK) {
            write(true);
        } else {
            endWithoutResponse(result);
        }
    }

    private void write(boolean isFirstOnConnection) {
        isWritten = true;
        outbound = Optional.of(node.network().send(server, request.id(), isFirstOnConnection, this::onResponse));
    }

    private void onResponse(AttemptResult result, int status, String body) {
        if (isOver || node.isStopped()) {
            return;
        }
        if (result == AttemptResult.OK) {
            node.connections().release(server);
            end(resultOf(status), body);
        } else {
            endWithoutResponse(result);
        }
    }

    private static AttemptResult resultOf(int status) {
        return switch (status) {
            case STATUS_OK -> AttemptResult.OK;
            case STATUS_SERVER_ERROR -> AttemptResult.ERROR;
            default -> AttemptResult.OVERLOADED;
        };
    }

    /** Ends the attempt without a complete response and reports the result to the balancer, unless it is over. */
    void endWithoutResponse(AttemptResult result) {
        end(result, "");
    }

    /** Ends the attempt, responds to the client if it succeeded, and reports the result to the balancer. */
    private void end(AttemptResult result, String body) {
        if (isOver || node.isStopped()) {
            return;
        }
        isOver = true;
        request.onAttemptEnded();
        deadlineTimer.ifPresent(Scheduler.Timer::cancel);
        if (!isCompleteResponse(result)) {
            outbound.ifPresent(SimulatedNetwork.OutboundRequest::close);
        }
        if (result == AttemptResult.OK) {
            request.respond(STATUS_OK, body);
        }
        node.removeIfDone(request);
        long elapsedUs = scheduler.nowUs() - startedUs;
        node.reportOutcome(() -> new AttemptOutcome(request.id(), number, result, elapsedUs, request.isOver(), null));
    }

    /** Returns whether the server sent a complete response, after which the connection can be reused. */
    private static boolean isCompleteResponse(AttemptResult result) {
        return result == AttemptResult.OK || result == AttemptResult.ERROR || result == AttemptResult.OVERLOADED;
    }

    /** Stops the timer and closes the connection in use, because the node's process has ended. */
    void abort() {
        deadlineTimer.ifPresent(Scheduler.Timer::cancel);
        if (!isOver) {
            outbound.ifPresent(SimulatedNetwork.OutboundRequest::close);
        }
    }
}
