package tansypass.node.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The load balancer's lines in the operators' log, as listed in docs/operations.md. */
class BalancerLogTest {
    /** Kept in a field, because the logging system references loggers only weakly. */
    private final Logger logger = Logger.getLogger("tansypass.balancer.LoadBalancer");

    /** Only lines of this thread count, because nodes of other tests may still log on their threads. */
    private final Thread testThread = Thread.currentThread();

    private final List<String> lines = new ArrayList<>();
    private final Handler handler = new Handler() {
        @Override
        public void publish(LogRecord entry) {
            if (Thread.currentThread() == testThread) {
                lines.add(entry.getMessage());
            }
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };

    @BeforeEach
    void addHandler() {
        logger.addHandler(handler);
    }

    @AfterEach
    void removeHandler() {
        logger.removeHandler(handler);
    }

    @Test
    void healthOfServersIsLoggedUnderTheBalancersName() {
        RequestDispatcher dispatcher = new RequestDispatcher(null, null, null, null);
        dispatcher.onNoServerReady(1_234);
        dispatcher.onServerEjected("10.0.0.1:80", 4);
        dispatcher.onServerRestored("10.0.0.1:80");
        assertEquals(
                List.of(
                        "no server ready listed=1234",
                        "server ejected server=10.0.0.1:80 failures=4",
                        "server restored server=10.0.0.1:80"),
                lines);
    }
}
