package tansypass.testbed.simulation;

import java.util.HexFormat;
import java.util.Optional;
import tansypass.balancer.AttemptResult;
import tansypass.testbed.invariant.InvariantChecker;
import tansypass.testbed.model.LinkState;
import tansypass.testbed.model.LinkState.Direction;
import tansypass.testbed.model.WebServer;

/** An attempt on its way from a node to a server, its execution there, and its response on the way back. */
final class InFlightMessage implements SimulatedNetwork.OutboundRequest {
    private static final int NO_ATTEMPT = -1;
    private static final int STATUS_OK = 200;

    private final SimulationContext context;
    private final InvariantChecker checker;
    private final EventQueue queue;
    private final SimulatedServer server;
    private final LinkState link;
    private final String id;
    private final boolean isFirstOnConnection;
    private final SimulatedNetwork.Callback callback;
    private final SimulatedProcess senderProcess;
    /** Empty until the message arrives at the server. */
    private Optional<WebServer.Execution> execution = Optional.empty();

    private int attempt = NO_ATTEMPT;
    private boolean hasArrived;
    private boolean isOver;

    InFlightMessage(
            SimulationContext context,
            SimulatedServer server,
            LinkState link,
            SimulatedProcess senderProcess,
            long requestId,
            boolean isFirstOnConnection,
            SimulatedNetwork.Callback callback) {
        this.context = context;
        checker = context.checker;
        queue = context.queue;
        this.server = server;
        this.link = link;
        this.senderProcess = senderProcess;
        id = HexFormat.of().toHexDigits(requestId);
        this.isFirstOnConnection = isFirstOnConnection;
        this.callback = callback;
    }

    /** Sends the message on its link. */
    void start() {
        server.add(this);
        if (link.isReset() || !server.isUp()) {
            queue.after(0, this::reset);
        } else if (!link.isCut(Direction.THERE)) {
            long dueUs = link.streamDueUs(Direction.THERE, queue.nowUs(), SimulatedNodeNetwork.MESSAGE_BYTES);
            queue.after(dueUs - queue.nowUs(), this::arrive);
        }
    }

    private void arrive() {
        if (isOver || !server.isUp()) {
            return;
        }
        hasArrived = true;
        attempt = checker.attemptStarted(queue.nowUs(), id, server.number());
        execution = Optional.of(server.model()
                .serve(context.clients.classOf(id), Optional.of(id), isFirstOnConnection, this::sendResponse));
    }

    private void sendResponse(WebServer.Response response) {
        if (isOver) {
            return;
        }
        if (response.status() == STATUS_OK) {
            checker.responseProduced(queue.nowUs(), id, server.number(), response.body());
        }
        end(response.isRejected());
        if (!link.isCut(Direction.BACK)) {
            long dueUs = link.streamDueUs(Direction.BACK, queue.nowUs(), SimulatedNodeNetwork.MESSAGE_BYTES);
            queue.after(
                    dueUs - queue.nowUs(),
                    () -> senderProcess.deliver(
                            () -> callback.onComplete(AttemptResult.OK, response.status(), response.body())));
        }
    }

    private void end(boolean isKnownNotExecuted) {
        isOver = true;
        server.remove(this);
        if (hasArrived) {
            checker.attemptEnded(queue.nowUs(), id, attempt, isKnownNotExecuted);
        }
    }

    /** Resets the connection of this message. The node is notified unless the link is half-open. */
    void reset() {
        if (isOver) {
            return;
        }
        if (server.isUp()) {
            server.model().connectionClosed();
        }
        end(false);
        if (!link.isHalfOpen()) {
            senderProcess.deliver(() -> callback.onComplete(AttemptResult.RESET, 0, ""));
        }
    }

    @Override
    public void close() {
        if (isOver) {
            return;
        }
        server.model().connectionClosed();
        // The close reaches the server one link delay later. A response that the server sent before may still arrive.
        long dueUs = link.streamDueUs(Direction.THERE, queue.nowUs(), 0);
        queue.after(dueUs - queue.nowUs(), this::cancelExecution);
    }

    private void cancelExecution() {
        if (isOver) {
            return;
        }
        execution.ifPresent(WebServer.Execution::cancel);
        end(false);
    }
}
