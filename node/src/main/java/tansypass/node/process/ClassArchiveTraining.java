package tansypass.node.process;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.util.List;
import tansypass.node.lifecycle.DelayRoundingIoHandler;
import tansypass.node.lifecycle.OpenFileLimit;
import tansypass.node.warmup.WarmUp;
import tansypass.platform.EnvironmentConfigSource;
import tansypass.platform.TrainingConfig;

/**
 * The training run of the build: a node starts, warms up, listens on a free port and ends. The classes that it loads
 * are stored in the class data sharing archive, from which the real process starts faster.
 */
public final class ClassArchiveTraining {
    private ClassArchiveTraining() {}

    /** Starts the run. The thread of its event loop keeps the process alive until the run ends. */
    public static void run() {
        loadStartClasses();
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, DelayRoundingIoHandler.newFactory());
        EventLoop loop = group.next();
        ProxyNode node = new ProxyNode(TrainingConfig.read(), loop);
        loop.execute(() -> node.start(group, WarmUp.REQUESTS).addListener(started -> group.shutdownGracefully()));
    }

    /** Loads the classes that only the start of a node process uses, which is not part of this run. */
    private static void loadStartClasses() {
        List<Class<?>> startClasses = List.of(
                NodeProcess.class,
                EnvironmentConfigSource.class,
                HangupSignal.class,
                StandardErrorPrinter.class,
                OpenFileLimit.class);
        for (Class<?> startClass : startClasses) {
            try {
                Class.forName(startClass.getName());
            } catch (ClassNotFoundException e) {
                throw new IllegalStateException("class used at the start not found: " + startClass, e);
            }
        }
    }
}
