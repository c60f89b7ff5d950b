package tansypass.node.request;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import tansypass.balancer.AttemptResult;
import tansypass.node.balancing.BalancerExecutor;
import tansypass.node.http.UpstreamResponse;
import tansypass.node.upstream.AttemptHandler;
import tansypass.node.upstream.UpstreamAttempt;
import tansypass.node.upstream.UpstreamConnectionPool;

/** One health check of a server. Its result is reported to the load balancer. Used on the event loop only. */
final class HealthProbe implements AttemptHandler {
    private static final long TIMEOUT_US = 250_000;
    private static final String PATH = "/health";
    private static final String HOST = "backend.local";

    private final BalancerExecutor balancer;
    private final String serverId;
    private long sentUs;
    private ScheduledFuture<?> timer;
    private UpstreamAttempt attempt;

    /** Creates a probe that has not been sent. */
    HealthProbe(BalancerExecutor balancer, String serverId) {
        this.balancer = balancer;
        this.serverId = serverId;
    }

    /** Sends the probe. Its result may be reported before this method returns. */
    void start(UpstreamConnectionPool pool) {
        sentUs = balancer.nowUs();
        timer = balancer.scheduleAt(sentUs + TIMEOUT_US, () -> attempt.abort(AttemptResult.TIMEOUT));
        attempt = pool.startAttempt(serverId, this);
    }

    @Override
    public HttpRequest createMessage() {
        FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, PATH);
        message.headers().set(HttpHeaderNames.HOST, HOST);
        return message;
    }

    @Override
    public void onAttemptEnded(AttemptResult result, UpstreamResponse response) {
        timer.cancel(false);
        long latencyUs = balancer.nowUs() - sentUs;
        balancer.execute(b -> b.onProbe(balancer.nowUs(), serverId, result, latencyUs, null));
    }
}
