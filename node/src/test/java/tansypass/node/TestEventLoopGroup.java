package tansypass.node;

import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.util.concurrent.Future;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A group of one event loop, which closes all of its channels whenever it is shut down. Netty's own event loop checks
 * once in each iteration, after polling the sockets and before running tasks, whether it has to close them. If it is
 * shut down without a quiet period between that check and the end of the iteration, it terminates with open channels,
 * and the buffers of their decoders leak. Here the shutdown always starts before that check.
 */
public final class TestEventLoopGroup extends MultiThreadIoEventLoopGroup {
    private final AtomicBoolean shuttingDown;

    public TestEventLoopGroup(IoHandlerFactory handlerFactory) {
        this(handlerFactory, new AtomicBoolean());
    }

    private TestEventLoopGroup(IoHandlerFactory handlerFactory, AtomicBoolean shuttingDown) {
        super(
                1,
                executor -> shutDownInPoll(
                        handlerFactory.newHandler(executor), (SingleThreadIoEventLoop) executor, shuttingDown));
        this.shuttingDown = shuttingDown;
    }

    private static IoHandler shutDownInPoll(
            IoHandler delegate, SingleThreadIoEventLoop loop, AtomicBoolean shuttingDown) {
        return (IoHandler) Proxy.newProxyInstance(
                IoHandler.class.getClassLoader(), new Class<?>[] {IoHandler.class}, (proxy, method, arguments) -> {
                    try {
                        return method.invoke(delegate, arguments);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    } finally {
                        if (method.getName().equals("run") && shuttingDown.get()) {
                            loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
                        }
                    }
                });
    }

    @Override
    public Future<?> shutdownGracefully(long quietPeriod, long timeout, TimeUnit unit) {
        shuttingDown.set(true);
        try {
            // Wakes the event loop for another iteration.
            next().execute(() -> {});
        } catch (RejectedExecutionException e) {
            // The event loop was already terminated by the iteration that was running.
        }
        return terminationFuture();
    }
}
