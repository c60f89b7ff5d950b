package tansypass.node.frontend;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Shares the event loop among the connections with pipelined input. They take turns, each with one request, and the
 * loop polls its sockets after a bounded number of them. Otherwise a few clients that send many short requests at once
 * would delay all others until the last one is answered. Used on the event loop only.
 */
final class PipelineScheduler {
    /** Bounds the time between two polls of the sockets. */
    static final int MAX_REQUESTS_PER_POLL = 32;

    /** A connection that takes part. */
    interface Connection {
        /** Processes the pipelined input until a request is complete. Has no effect if there is none. */
        void processPipelinedInput();
    }

    private final Consumer<Runnable> executorAfterPoll;
    /** The connections that can start their next request, the one that has waited longest first. */
    private final Set<Connection> ready = new LinkedHashSet<>();

    private boolean scheduled;

    /**
     * Creates a scheduler without connections.
     *
     * @param executorAfterPoll runs a task on the event loop after the loop has polled its sockets
     */
    PipelineScheduler(Consumer<Runnable> executorAfterPoll) {
        this.executorAfterPoll = executorAfterPoll;
    }

    /** Adds a connection, whose input is processed once. Has no effect if the connection waits already. */
    void add(Connection connection) {
        ready.add(connection);
        scheduleNext();
    }

    private void scheduleNext() {
        if (!scheduled && !ready.isEmpty()) {
            scheduled = true;
            executorAfterPoll.accept(this::processReady);
        }
    }

    private void processReady() {
        scheduled = false;
        int count = Math.min(ready.size(), MAX_REQUESTS_PER_POLL);
        for (int i = 0; i < count; i++) {
            removeFirst().processPipelinedInput();
        }
        scheduleNext();
    }

    private Connection removeFirst() {
        Iterator<Connection> iterator = ready.iterator();
        Connection first = iterator.next();
        iterator.remove();
        return first;
    }
}
