package tansypass.node.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Queue;
import org.junit.jupiter.api.Test;

/** Guards against an event loop that answers queued pipelined requests for long before it polls its sockets again. */
class PipelineSchedulerTest {
    private static final int CONNECTIONS = 3 * PipelineScheduler.MAX_REQUESTS_PER_POLL;
    private static final int REQUESTS_EACH = 5;

    private final Queue<Runnable> tasksAfterPoll = new ArrayDeque<>();
    private final PipelineScheduler scheduler = new PipelineScheduler(tasksAfterPoll::add);
    private final List<Client> processed = new ArrayList<>();

    /** A connection whose requests are answered at once, so that it can start the next one. */
    private final class Client implements PipelineScheduler.Connection {
        private int queuedRequests = REQUESTS_EACH;

        @Override
        public void processPipelinedInput() {
            processed.add(this);
            queuedRequests--;
            if (queuedRequests > 0) {
                scheduler.add(this);
            }
        }
    }

    @Test
    void connectionsTakeTurnsAndFewRequestsAreProcessedBetweenPolls() {
        for (int i = 0; i < CONNECTIONS; i++) {
            scheduler.add(new Client());
        }
        assertTrue(processed.isEmpty(), "processed before a poll");
        while (!tasksAfterPoll.isEmpty()) {
            assertEquals(1, tasksAfterPoll.size());
            int processedBefore = processed.size();
            tasksAfterPoll.remove().run();
            assertTrue(processed.size() - processedBefore <= PipelineScheduler.MAX_REQUESTS_PER_POLL);
        }
        assertEquals(CONNECTIONS * REQUESTS_EACH, processed.size());
        for (int round = 0; round < REQUESTS_EACH; round++) {
            List<Client> turn = processed.subList(round * CONNECTIONS, (round + 1) * CONNECTIONS);
            assertEquals(CONNECTIONS, new HashSet<>(turn).size(), "a connection had two turns before another had one");
        }
    }
}
