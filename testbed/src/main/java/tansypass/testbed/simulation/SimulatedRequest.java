package tansypass.testbed.simulation;

import java.util.ArrayList;
import java.util.List;
import tansypass.balancer.AttemptResult;
import tansypass.cluster.runtime.Scheduler;

/** A client's request at a simulated node. It exists until it is over and none of its attempts is in flight. */
final class SimulatedRequest {
    private final SimulatedNode node;
    private final long id;
    private final long deadlineUs;
    private final List<SimulatedAttempt> attempts = new ArrayList<>(2);
    private Scheduler.Timer deadlineTimer;
    private int attemptsInFlight;
    private boolean isOver;

    /** Creates a request whose attempts end at {@code deadlineUs}. Call {@link #setDeadlineTimer} next. */
    SimulatedRequest(SimulatedNode node, long id, long deadlineUs) {
        this.node = node;
        this.id = id;
        this.deadlineUs = deadlineUs;
    }

    long id() {
        return id;
    }

    long deadlineUs() {
        return deadlineUs;
    }

    /** Returns whether the response was sent or the client has disconnected. */
    boolean isOver() {
        return isOver;
    }

    /** Returns whether the request is over and has no attempt in flight. */
    boolean isDone() {
        return isOver && attemptsInFlight == 0;
    }

    void setDeadlineTimer(Scheduler.Timer timer) {
        deadlineTimer = timer;
    }

    /** Sends an attempt to a server; if {@code attemptDeadlineUs} is 0 or less, only the request's deadline applies. */
    void startAttempt(String server, long attemptDeadlineUs) {
        SimulatedAttempt attempt = new SimulatedAttempt(node, this, attempts.size(), server);
        attempts.add(attempt);
        attemptsInFlight++;
        attempt.start(attemptDeadlineUs);
    }

    /** Cancels the attempt with this number, if there is one. */
    void cancelAttempt(int number) {
        if (number < attempts.size()) {
            attempts.get(number).endWithoutResponse(AttemptResult.CANCELLED);
        }
    }

    /** Called when an attempt has ended. */
    void onAttemptEnded() {
        attemptsInFlight--;
    }

    /** Sends the final response to the client. No effect if the request is over. */
    void respond(int status, String body) {
        if (isOver) {
            return;
        }
        finish();
        node.network().respond(id, status, body);
        // Attempts that still wait for a connection must not be sent.
        List.copyOf(attempts).stream()
                .filter(attempt -> !attempt.isWritten())
                .forEach(attempt -> attempt.endWithoutResponse(AttemptResult.NOT_SENT));
        node.removeIfDone(this);
    }

    /** Ends the request without a response. Its attempts continue until the balancer cancels them. */
    void finish() {
        isOver = true;
        deadlineTimer.cancel();
    }

    /** Stops all timers and closes the connections in use, because the node's process has ended. */
    void abort() {
        deadlineTimer.cancel();
        attempts.forEach(SimulatedAttempt::abort);
    }
}
