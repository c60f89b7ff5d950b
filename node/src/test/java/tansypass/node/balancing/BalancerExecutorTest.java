package tansypass.node.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import tansypass.balancer.LoadBalancer;
import tansypass.node.admin.NodeMetrics;

class BalancerExecutorTest {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final BalancerExecutor executor = new BalancerExecutor(channel.eventLoop(), new NodeMetrics(List.of()));
    /**
     * Events in order: the names of the load balancer's methods that were called, and texts that the test has added.
     */
    private final List<String> events = new ArrayList<>();

    @BeforeEach
    void setRecordingBalancer() {
        Class<?>[] interfaces = {LoadBalancer.class};
        executor.setBalancer((LoadBalancer)
                Proxy.newProxyInstance(LoadBalancer.class.getClassLoader(), interfaces, (proxy, method, arguments) -> {
                    if (method.getReturnType() == int.class) {
                        return 0;
                    }
                    events.add(method.getName());
                    return null;
                }));
    }

    @Test
    void callMadeDuringACallRunsAfterIt() {
        executor.execute(b -> {
            executor.execute(inner -> events.add("inner"));
            events.add("outer");
        });
        assertEquals(List.of("outer", "inner"), events);
    }

    @Test
    void callThatThrowsDoesNotStopLaterCalls() {
        executor.execute(b -> {
            executor.execute(inner -> events.add("behind"));
            throw new IllegalStateException("thrown by the test");
        });
        executor.execute(b -> events.add("later"));
        assertEquals(List.of("behind", "later"), events);
    }

    @Test
    void noCallIsMadeAfterClose() {
        executor.scheduleTimer(executor.nowUs());
        executor.close();
        executor.execute(b -> events.add("late"));
        channel.advanceTimeBy(1, TimeUnit.MINUTES);
        channel.runScheduledPendingTasks();
        assertEquals(List.of(), events);
    }

    @Test
    void newTimerReplacesThePendingOne() {
        executor.scheduleTimer(executor.nowUs());
        executor.scheduleTimer(executor.nowUs() + 1);
        channel.advanceTimeBy(1, TimeUnit.MINUTES);
        channel.runScheduledPendingTasks();
        assertEquals(List.of("onTimer"), events);
    }
}
