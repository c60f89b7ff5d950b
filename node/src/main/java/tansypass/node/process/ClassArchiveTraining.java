package tansypass.node.process;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.util.List;
import java.util.Map;
import tansypass.node.ConfigSource;
import tansypass.node.NodeConfig;
import tansypass.node.lifecycle.DelayRoundingIoHandler;
import tansypass.node.lifecycle.OpenFileLimit;
import tansypass.node.warmup.WarmUp;

/**
 * The training run of the build: a node starts, warms up, listens on a free port and ends. The classes that it loads
 * go into the class data sharing archive, from which the real process starts faster.
 */
public final class ClassArchiveTraining {
    /** Port 1 refuses connections, so that the failures of discovery and of an attempt are part of the run. */
    private static final String CONFIG = """
            {"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","limits":{"sockets":1024},
             "known":{"rev":1,"all":true,"targets":[{"uid":"s","endpoint":"127.0.0.1:1","az":"a",
              "pod_group":1,"state":"Ready","capacity_hint":1.0,"boot_ms":0}]},
             "settings":{"zones":["a"],"myZone":"a","membershipMode":"on_request","realms":[{"name":"t"}],
              "classes":[{"name":"a","repeat":"safe","onTimeUs":1000000,"giveUpUs":3000000},
               {"name":"b","repeat":"unsafe","onTimeUs":1000000,"giveUpUs":3000000}]}}""";

    private ClassArchiveTraining() {}

    /** Starts the run; its event loop's thread is what keeps the process alive until the end. */
    public static void run() {
        loadStartClasses();
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, DelayRoundingIoHandler.newFactory());
        EventLoop loop = group.next();
        ProxyNode node = new ProxyNode(NodeConfig.parse(CONFIG, Map.of()), loop);
        loop.execute(() -> node.start(group, WarmUp.REQUESTS).addListener(started -> group.shutdownGracefully()));
    }

    /** Loads what only the start of a process uses, which this run does not go through. */
    private static void loadStartClasses() {
        List<Class<?>> startClasses = List.of(
                NodeProcess.class,
                ConfigSource.ofEnvironment(Map.of()).getClass(),
                HangupSignal.class,
                StandardErrorPrinter.class,
                OpenFileLimit.class);
        for (Class<?> startClass : startClasses) {
            try {
                Class.forName(startClass.getName());
            } catch (ClassNotFoundException e) {
                throw new IllegalStateException("class of the start not found: " + startClass, e);
            }
        }
    }
}
