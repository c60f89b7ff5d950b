package tansypass.testbed.simulation;

import java.util.ArrayList;
import java.util.List;
import tansypass.balancer.AttemptResult;
import tansypass.cluster.runtime.Scheduler;

/** A client's request at a simulated node, until it has its response and no attempt of it is in flight. */
final class SimulatedRequest {
    private final SimulatedNode node;
    private final long id;
    private final long deadlineUs;
    private final List<SimulatedAttempt> attempts = new ArrayList<>(2);
    private Scheduler.Timer deadlineTimer;
    private int attemptsInFlight;
    private boolean isOver;

    /** Creates a request without a deadline timer; attempts end at {@code deadlineUs}. */
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

    /** Returns whether it has its response, or its client has disconnected. */
    boolean isOver() {
        return isOver;
    }

    boolean isDone() {
        return isOver && attemptsInFlight == 0;
    }

    void setDeadlineTimer(Scheduler.Timer timer) {
        deadlineTimer = timer;
    }

    /** Sends an attempt to a server; {@code attemptDeadlineUs} of 0 or less means none of its own. */
    void startAttempt(String server, long attemptDeadlineUs) {
        SimulatedAttempt attempt = new SimulatedAttempt(node, this, attempts.size(), server);
        attempts.add(attempt);
        attemptsInFlight++;
        attempt.start(attemptDeadlineUs);
    }

    /** Cancels an attempt, if there is one of this number. */
    void cancelAttempt(int number) {
        if (number < attempts.size()) {
            attempts.get(number).endWithoutResponse(AttemptResult.CANCELLED);
        }
    }

    void attemptEnded() {
        attemptsInFlight--;
    }

    /** Sends the final response to the client, unless the request is over. */
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

    /** Ends the request without a response; attempts go on until they are cancelled. */
    void finish() {
        isOver = true;
        deadlineTimer.cancel();
    }

    /** Stops all timers and closes the connections in use: the node's process has ended. */
    void abort() {
        deadlineTimer.cancel();
        attempts.forEach(SimulatedAttempt::abort);
    }
}
