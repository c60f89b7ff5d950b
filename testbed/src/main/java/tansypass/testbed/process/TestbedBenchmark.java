package tansypass.testbed.process;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import tansypass.cluster.runtime.RandomStreams;
import tansypass.cluster.transport.EventLoopScheduler;
import tansypass.testbed.model.LinkState;

/**
 * Measures the overhead of the testbed itself, so that it can be told from that of the product: the throughput and
 * round-trip time of a {@link Relay} compared with a direct connection, and the requests per second that clients on one
 * thread complete.
 */
public final class TestbedBenchmark {
    private static final int THREAD_COUNT = 3;

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(THREAD_COUNT, NioIoHandler.newFactory());
    private final EventLoop clientLoop = loops.next();
    private final EventLoop relayLoop = loops.next();
    private final EventLoop serverLoop = loops.next();

    private TestbedBenchmark() {}

    /**
     * Measures each figure {@code runs} times, alternately, and returns medians, minima and maxima as text.
     *
     * @throws BenchmarkException if a measurement fails or takes too long
     * @throws IOException if a socket can't be opened
     */
    public static String measure(int runs) throws IOException, InterruptedException {
        TestbedBenchmark benchmark = new TestbedBenchmark();
        try {
            return benchmark.measureAll(runs);
        } catch (ExecutionException | TimeoutException e) {
            throw new BenchmarkException("a measurement of the testbed failed: " + e, e);
        } finally {
            benchmark.loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        }
    }

    private String measureAll(int runs) throws IOException, InterruptedException, ExecutionException, TimeoutException {
        LinkBenchmark linkBenchmark = new LinkBenchmark(clientLoop, serverLoop);
        RequestRateBenchmark requestRateBenchmark = new RequestRateBenchmark(clientLoop, serverLoop);
        InetSocketAddress receiverAddress = linkBenchmark.receiverAddress();
        Relay relay = startRelay(receiverAddress);
        double[] directBytesPerS = new double[runs];
        double[] relayedBytesPerS = new double[runs];
        double[] directRoundTripUs = new double[runs];
        double[] relayedRoundTripUs = new double[runs];
        double[] requestsPerS = new double[runs];
        for (int i = 0; i < runs; i++) {
            directBytesPerS[i] = linkBenchmark.measureBytesPerS(receiverAddress);
            relayedBytesPerS[i] = linkBenchmark.measureBytesPerS(relay.address());
            directRoundTripUs[i] = linkBenchmark.measureMedianRoundTripUs(receiverAddress);
            relayedRoundTripUs[i] = linkBenchmark.measureMedianRoundTripUs(relay.address());
            requestsPerS[i] = requestRateBenchmark.measureRequestsPerS();
        }
        relayLoop.submit(relay::close).get();
        return formatFigure("bytes a second, no link", directBytesPerS)
                + formatFigure("bytes a second, link", relayedBytesPerS)
                + formatFigure("round trip us, no link", directRoundTripUs)
                + formatFigure("round trip us, link", relayedRoundTripUs)
                + formatFigure("requests a second of one thread", requestsPerS);
    }

    private Relay startRelay(InetSocketAddress target) throws IOException {
        LinkState withoutFaults = new LinkState(0, RandomStreams.of(1, "cost"));
        Relay relay = new Relay(relayLoop, new EventLoopScheduler(relayLoop), withoutFaults, target);
        relay.start("127.0.0.1");
        return relay;
    }

    private static String formatFigure(String figure, double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return String.format(
                Locale.ROOT,
                "%s: median %.4g, least %.4g, most %.4g%n",
                figure,
                sorted[sorted.length / 2],
                sorted[0],
                sorted[sorted.length - 1]);
    }
}
